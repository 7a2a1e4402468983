// Baseline picker: a random upstream.
#pragma once

#include "policy/picker.h"

namespace hornbeam {

class random_source;

// Selects each candidate with the same probability.
class random_picker final : public picker {
 public:
  // `random` must outlive the picker.
  explicit random_picker(random_source& random);

  pick_decision Pick(std::span<const candidate> candidates,
                     const pick_call& call) override;

 private:
  random_source& random_;
};

}  // namespace hornbeam
