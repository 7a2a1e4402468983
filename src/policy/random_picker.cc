#include "policy/random_picker.h"

#include "hornbeam/random_source.h"
#include "policy/baseline_decision.h"

namespace hornbeam {

random_picker::random_picker(random_source& random) : random_(random) {}

pick_decision random_picker::Pick(std::span<const candidate> candidates,
                                  const pick_call& /*call*/) {
  if (candidates.empty()) return {};
  return detail::MakeBaselineDecision(candidates,
                                      random_.NextBelow(candidates.size()));
}

}  // namespace hornbeam
