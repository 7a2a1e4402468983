#include "policy/least_outstanding_picker.h"

#include "hornbeam/random_source.h"
#include "policy/baseline_decision.h"

namespace hornbeam {

least_outstanding_picker::least_outstanding_picker(random_source& random)
    : random_(random) {}

pick_decision least_outstanding_picker::Pick(
    std::span<const candidate> candidates, const pick_call& /*call*/) {
  if (candidates.empty()) return {};
  const std::size_t start = random_.NextBelow(candidates.size());
  std::size_t best = start;
  for (std::size_t step = 1; step < candidates.size(); ++step) {
    const std::size_t other = (start + step) % candidates.size();
    if (detail::OutstandingCalls(candidates[other]) <
        detail::OutstandingCalls(candidates[best])) {
      best = other;
    }
  }
  return detail::MakeBaselineDecision(candidates, best);
}

}  // namespace hornbeam
