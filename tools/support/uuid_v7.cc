#include "support/uuid_v7.h"

#include <fmt/format.h>

#include <cstdint>

#include "hornbeam/random_source.h"

namespace hornbeam {

std::string MakeUuidV7(std::chrono::milliseconds issued,
                       random_source& random) {
  const auto time = static_cast<std::uint64_t>(issued.count());
  const std::uint64_t bits = random.Next();
  constexpr std::uint64_t kVariant = 0x8000;
  constexpr std::uint64_t kVariantBits = 0x3FFF;
  constexpr std::uint64_t kNodeBits = 0xFFFFFFFFFFFF;
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U,
                     time & 0xFFFFU, bits & 0xFFFU,
                     kVariant | ((bits >> 12U) & kVariantBits),
                     random.Next() & kNodeBits);
}

std::string MakeUuidV7(random_source& random) {
  return MakeUuidV7(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch()),
                    random);
}

}  // namespace hornbeam
