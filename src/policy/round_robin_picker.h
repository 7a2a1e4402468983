// Baseline picker: round robin.
#pragma once

#include "policy/picker.h"

namespace hornbeam {

class random_source;

// Selects the candidates in turn, starting at a random one.
class round_robin_picker final : public picker {
 public:
  // `random` must outlive the picker.
  explicit round_robin_picker(random_source& random);

  pick_decision Pick(std::span<const candidate> candidates,
                     const pick_call& call) override;

 private:
  std::uint64_t next_;
};

}  // namespace hornbeam
