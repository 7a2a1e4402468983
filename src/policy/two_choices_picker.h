// Baseline picker: power of two random choices.
#pragma once

#include "policy/picker.h"

namespace hornbeam {

class random_source;

// Draws two different candidates and selects the one with fewer outstanding
// calls of this node.
class two_choices_picker final : public picker {
 public:
  // `random` must outlive the picker.
  explicit two_choices_picker(random_source& random);

  pick_decision Pick(std::span<const candidate> candidates,
                     const pick_call& call) override;

 private:
  random_source& random_;
};

}  // namespace hornbeam
