// Default picker: least expected time among a few random candidates.
#pragma once

#include <vector>

#include "policy/expected_wait.h"
#include "policy/picker.h"

namespace hornbeam {

class random_source;

// Visits the distances from nearest to farthest. At each distance it scores a
// few random candidates, and it stops when the expected wait of the best one is
// short enough. Random sampling prevents many ingress nodes with the same
// report from sending all their calls to one upstream.
class expected_wait_picker final : public picker {
 public:
  // `random` must outlive the picker.
  expected_wait_picker(random_source& random, const picker_options& options);

  pick_decision Pick(std::span<const candidate> candidates,
                     const pick_call& call) override;

 private:
  // Returns the indices of at most `sample_size` random candidates at
  // `distance`.
  std::vector<std::size_t> SampleAt(std::span<const candidate> candidates,
                                    zone_distance distance);

  random_source& random_;
  picker_options options_;
  expected_wait expected_;
};

}  // namespace hornbeam
