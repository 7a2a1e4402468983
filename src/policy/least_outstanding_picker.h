// Baseline picker: the upstream with the fewest outstanding calls of this node.
#pragma once

#include "policy/picker.h"

namespace hornbeam {

class random_source;

// Counts only the calls that this node sent. Ties are broken at random.
class least_outstanding_picker final : public picker {
 public:
  // `random` must outlive the picker.
  explicit least_outstanding_picker(random_source& random);

  pick_decision Pick(std::span<const candidate> candidates,
                     const pick_call& call) override;

 private:
  random_source& random_;
};

}  // namespace hornbeam
