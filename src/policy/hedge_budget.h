// Hedge budget: decides when a slow call is also sent to a second upstream.
#pragma once

#include <optional>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"
#include "policy/call_budget.h"
#include "policy/latency_histogram.h"

namespace hornbeam {

struct hedge_budget_options {
  call_budget_options budget{.per_mille = 10, .burst = 4};
  // Quantile of the observed latencies after which a call is hedged.
  double quantile = 0.995;
  // Minimum time before a call is hedged, also when the quantile is lower.
  duration min_delay = std::chrono::milliseconds(5);
  // Minimum number of observed calls before any call is hedged.
  double min_samples = 100;
};

// Only short idempotent calls are hedged. One budget exists for each service
// and ingress node. Not thread-safe.
class hedge_budget {
 public:
  explicit hedge_budget(hedge_budget_options options);

  // Records the latency of an answered short call that was not hedged.
  void RecordLatency(duration latency);
  // Records the first dispatch of a call.
  void RecordCall();
  // Returns the time without an answer after which the call may be hedged, if
  // TryHedge returns true then; std::nullopt for calls that are never hedged.
  [[nodiscard]] std::optional<duration> Delay(call_class kind,
                                              bool idempotent) const;
  // Takes one hedge from the budget. Returns false when none is left.
  bool TryHedge();

 private:
  hedge_budget_options options_;
  call_budget budget_;
  latency_histogram latencies_;
};

}  // namespace hornbeam
