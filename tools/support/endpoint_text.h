// Text form of TCP endpoints: "127.0.0.1:8080".
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

// Returns std::nullopt when `text` is not a numeric address with a port.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);
// Returns the address and port; ParseEndpoint reads the result.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace hornbeam
