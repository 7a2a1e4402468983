// Retry budget: decides whether a failed dispatch may be retried at another
// upstream.
#pragma once

#include <cstdint>

#include "hornbeam/outcome.h"
#include "policy/call_budget.h"

namespace hornbeam {

struct retry_budget_options {
  call_budget_options budget{.per_mille = 200, .burst = 20};
  // Budget for calls rejected because another upstream was expected to be
  // faster.
  call_budget_options reroutes{.per_mille = 50, .burst = 20};
  // Maximum number of dispatches of one call, not counting one rejected by its
  // wait limit.
  std::uint32_t max_attempts = 3;
};

// What the ingress node knows about a dispatch that returned no answer.
struct retry_request {
  outcome call_outcome = outcome::kUnknown;
  bool idempotent = false;
  // The serving node rejected it because of the wait limit set by this node.
  bool by_wait_limit = false;
  // Dispatches so far, not counting one rejected by its wait limit.
  std::uint32_t attempts = 1;
};

// Whether a dispatch is retried, and why not.
enum class retry_verdict : std::uint8_t {
  kRetry,
  kUnsafe,       // The call may have run and is not idempotent.
  kAttempts,     // The call has used all its attempts.
  kBudgetSpent,  // Too many of the service's calls fail to add retries.
};

// One for each service and ingress node. Not thread-safe.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options);

  // Records the first dispatch of a call.
  void RecordCall();
  // Returns whether the next dispatch may carry the picker's wait limit. Only
  // the first dispatch of a call may, and only while few calls are rejected for
  // it: in a general overload no other upstream is faster. Calls with a claim
  // in the ledger should be dispatched without a limit, since rerouting them
  // costs a commit.
  [[nodiscard]] bool MayLimitWait(std::uint32_t dispatches) const;
  // Decides on a retry. A call rejected by its wait limit is always retried,
  // without a limit. Spends from the budget only when the result is kRetry.
  retry_verdict Decide(const retry_request& request);

 private:
  retry_budget_options options_;
  call_budget budget_;
  call_budget reroutes_;
};

}  // namespace hornbeam
