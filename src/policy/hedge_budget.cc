#include "policy/hedge_budget.h"

#include <algorithm>

namespace hornbeam {

hedge_budget::hedge_budget(hedge_budget_options options)
    : options_(options), budget_(options.budget) {}

void hedge_budget::RecordLatency(duration latency) {
  latencies_.Record(latency);
}

void hedge_budget::RecordCall() { budget_.RecordCall(); }

std::optional<duration> hedge_budget::Delay(call_class kind,
                                            bool idempotent) const {
  if (kind != call_class::kShort || !idempotent) return std::nullopt;
  if (latencies_.Weight() < options_.min_samples) return std::nullopt;
  return std::max(latencies_.Quantile(options_.quantile), options_.min_delay);
}

bool hedge_budget::TryHedge() { return budget_.TrySpend(); }

}  // namespace hornbeam
