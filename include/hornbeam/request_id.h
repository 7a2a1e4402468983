// 128-bit identifier of requests, settings changes and process incarnations.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

class random_source;

// Identifies one request from the caller to the upstream and back. Answers are
// matched to requests by this id only.
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;

  // Returns 32 lower-case hexadecimal digits.
  [[nodiscard]] std::string ToString() const;
  // Parses the output of ToString; returns std::nullopt for any other text.
  static std::optional<request_id> Parse(std::string_view text);
  // Returns an id of 128 bits from `random`.
  static request_id MakeRandom(random_source& random);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

}  // namespace hornbeam

template <>
struct std::hash<hornbeam::request_id> {
  std::size_t operator()(const hornbeam::request_id& id) const noexcept {
    return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
  }
};
