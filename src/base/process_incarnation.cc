#include "base/process_incarnation.h"

#include "hornbeam/clock_source.h"
#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

constexpr unsigned kRandomBits = 10;

}  // namespace

std::uint64_t MakeIncarnation(const clock_source& clock,
                              random_source& random) {
  const auto since_1970 = clock.WallNow().time_since_epoch();
  return (static_cast<std::uint64_t>(since_1970.count()) << kRandomBits) |
         random.NextBelow(1U << kRandomBits) | 1U;
}

}  // namespace hornbeam
