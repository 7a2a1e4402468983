// Interface to random numbers. Decision modules use only this interface, so
// that tests can seed it.
#pragma once

#include <cstdint>

namespace hornbeam {

// Generates random numbers. Not thread-safe; each thread owns its own source.
class random_source {
 public:
  random_source() = default;
  random_source(const random_source&) = delete;
  random_source& operator=(const random_source&) = delete;
  virtual ~random_source() = default;

  // Returns a number uniformly distributed over all 64-bit values.
  virtual std::uint64_t Next() = 0;

  // Returns a number in [0, bound); `bound` must not be 0. The bias is below
  // bound / 2^64.
  std::uint64_t NextBelow(std::uint64_t bound) { return Next() % bound; }

  // Returns a number in [0, 1).
  double NextUnit() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
};

}  // namespace hornbeam
