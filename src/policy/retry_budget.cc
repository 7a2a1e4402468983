#include "policy/retry_budget.h"

namespace hornbeam {

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), budget_(options.budget), reroutes_(options.reroutes) {}

void retry_budget::RecordCall() {
  budget_.RecordCall();
  reroutes_.RecordCall();
}

bool retry_budget::MayLimitWait(std::uint32_t dispatches) const {
  return dispatches == 0 && reroutes_.CanSpend();
}

retry_verdict retry_budget::Decide(const retry_request& request) {
  const bool is_safe =
      request.call_outcome == outcome::kNotRun ||
      (request.call_outcome == outcome::kUnknown && request.idempotent);
  if (!is_safe) return retry_verdict::kUnsafe;
  if (request.by_wait_limit) {
    reroutes_.TrySpend();
    return retry_verdict::kRetry;
  }
  if (request.attempts >= options_.max_attempts) {
    return retry_verdict::kAttempts;
  }
  return budget_.TrySpend() ? retry_verdict::kRetry
                            : retry_verdict::kBudgetSpent;
}

}  // namespace hornbeam
