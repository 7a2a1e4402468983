#include "hornbeam/request_id.h"

#include <fmt/format.h>

#include <charconv>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr int kHexBase = 16;

bool ParseHalf(std::string_view text, std::uint64_t& value) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, kHexBase);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string request_id::ToString() const {
  return fmt::format("{:016x}{:016x}", high, low);
}

std::optional<request_id> request_id::Parse(std::string_view text) {
  if (text.size() != 2 * kHalfDigits) return std::nullopt;
  request_id id;
  if (!ParseHalf(text.substr(0, kHalfDigits), id.high)) return std::nullopt;
  if (!ParseHalf(text.substr(kHalfDigits), id.low)) return std::nullopt;
  return id;
}

request_id request_id::MakeRandom(random_source& random) {
  return request_id{random.Next(), random.Next()};
}

}  // namespace hornbeam
