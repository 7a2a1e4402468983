// Addresses of processes: an IP number and a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct endpoint {
  std::string host;  // An IP number.
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;

  // "127.0.0.1:8080", or "[::1]:8080" for IPv6.
  [[nodiscard]] std::string ToString() const;
  // Nothing when `text` is no IP number with a port.
  static std::optional<endpoint> Parse(std::string_view text);
};

// A peer that is up accepts within a round trip; one without power never does.
// Leaves room for a round trip between regions, and ends before a lost opening
// packet is sent again, which takes a second.
inline constexpr duration kPeerConnectTimeout = std::chrono::milliseconds(300);

}  // namespace hornbeam
