// Identity of an upstream in load balancing.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hornbeam {

// Identifies one incarnation of the serving node of an upstream. A restarted
// node counts as a new upstream: observations of the previous incarnation do
// not apply to it.
struct upstream_id {
  std::string node;
  std::uint64_t incarnation = 0;

  auto operator<=>(const upstream_id&) const = default;
};

}  // namespace hornbeam

template <>
struct std::hash<hornbeam::upstream_id> {
  std::size_t operator()(const hornbeam::upstream_id& id) const noexcept {
    return std::hash<std::string>()(id.node) ^
           static_cast<std::size_t>(id.incarnation * 0x9E3779B97F4A7C15ULL);
  }
};
