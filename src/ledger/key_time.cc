#include "ledger/key_time.h"

namespace hornbeam {

namespace {

// Layout of a UUIDv7 (RFC 9562): 48 bits of milliseconds since 1970, 4 bits of
// version, 12 random bits, 2 bits of variant, 62 random bits.
constexpr unsigned kTimeShift = 16;
constexpr unsigned kVersionShift = 12;
constexpr std::uint64_t kVersionMask = 0xF;
constexpr std::uint64_t kVersion7 = 7;
constexpr unsigned kVariantShift = 62;
constexpr std::uint64_t kVariant = 2;

}  // namespace

std::optional<std::int64_t> KeyIssuedAtMs(const request_id& key) {
  if (((key.high >> kVersionShift) & kVersionMask) != kVersion7) {
    return std::nullopt;
  }
  if ((key.low >> kVariantShift) != kVariant) return std::nullopt;
  return static_cast<std::int64_t>(key.high >> kTimeShift);
}

}  // namespace hornbeam
