#include "policy/round_robin_picker.h"

#include "hornbeam/random_source.h"
#include "policy/baseline_decision.h"

namespace hornbeam {

round_robin_picker::round_robin_picker(random_source& random)
    : next_(random.Next()) {}

pick_decision round_robin_picker::Pick(std::span<const candidate> candidates,
                                       const pick_call& /*call*/) {
  if (candidates.empty()) return {};
  return detail::MakeBaselineDecision(candidates, next_++ % candidates.size());
}

}  // namespace hornbeam
