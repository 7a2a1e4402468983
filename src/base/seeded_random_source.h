// Pseudorandom number generator with an explicit seed.
#pragma once

#include <cstdint>
#include <random>

#include "hornbeam/random_source.h"

namespace hornbeam {

// A 64-bit Mersenne twister. The same seed gives the same numbers on every
// machine.
class seeded_random_source final : public random_source {
 public:
  explicit seeded_random_source(std::uint64_t seed);
  // Returns a seed from the operating system. For daemons only: tests need
  // reproducible seeds.
  static std::uint64_t MakeSystemSeed();

  std::uint64_t Next() override;

 private:
  std::mt19937_64 engine_;
};

}  // namespace hornbeam
