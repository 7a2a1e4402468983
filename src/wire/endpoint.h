// Addresses of processes: an IP address and a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct endpoint {
  std::string host;  // An IP address.
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;

  // Returns "127.0.0.1:8080", or "[::1]:8080" for IPv6.
  [[nodiscard]] std::string ToString() const;
  // Returns std::nullopt if `text` is not an IP address with a port.
  static std::optional<endpoint> Parse(std::string_view text);
};

// A running peer accepts a connection within one round trip, and a VM without
// power never does. The limit allows for a round trip between regions and is
// shorter than the second after which TCP retransmits a lost SYN.
inline constexpr duration kPeerConnectTimeout = std::chrono::milliseconds(300);

}  // namespace hornbeam
