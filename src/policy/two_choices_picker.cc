#include "policy/two_choices_picker.h"

#include "hornbeam/random_source.h"
#include "policy/baseline_decision.h"

namespace hornbeam {

two_choices_picker::two_choices_picker(random_source& random)
    : random_(random) {}

pick_decision two_choices_picker::Pick(std::span<const candidate> candidates,
                                       const pick_call& /*call*/) {
  if (candidates.empty()) return {};
  const std::size_t count = candidates.size();
  if (count == 1) return detail::MakeBaselineDecision(candidates, 0);
  const std::size_t first = random_.NextBelow(count);
  const std::size_t second = (first + 1 + random_.NextBelow(count - 1)) % count;
  const bool second_is_better = detail::OutstandingCalls(candidates[second]) <
                                detail::OutstandingCalls(candidates[first]);
  return detail::MakeBaselineDecision(candidates,
                                      second_is_better ? second : first);
}

}  // namespace hornbeam
