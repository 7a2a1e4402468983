#include "policy/baseline_decision.h"

namespace hornbeam::detail {

double OutstandingCalls(const candidate& upstream) {
  return upstream.load.short_calls.outstanding +
         static_cast<double>(upstream.load.long_calls.outstanding);
}

pick_decision MakeBaselineDecision(std::span<const candidate> candidates,
                                   std::size_t chosen) {
  const candidate& upstream = candidates[chosen];
  pick_decision decision;
  decision.chosen = chosen;
  decision.scores.push_back(
      candidate_score{.index = chosen,
                      .score = OutstandingCalls(upstream),
                      .report_age = upstream.load.report_age,
                      .has_report = upstream.load.has_report});
  return decision;
}

}  // namespace hornbeam::detail
