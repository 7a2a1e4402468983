#include "base/seeded_random_source.h"

namespace hornbeam {

seeded_random_source::seeded_random_source(std::uint64_t seed)
    : engine_(seed) {}

std::uint64_t seeded_random_source::MakeSystemSeed() {
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

std::uint64_t seeded_random_source::Next() { return engine_(); }

}  // namespace hornbeam
