// Opens and connects TCP sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"

namespace hornbeam {

class io_loop;

// Returns a listening socket, or std::nullopt if the address cannot be bound.
std::optional<boost::asio::ip::tcp::acceptor> ListenTcp(io_loop& loop,
                                                        const std::string& host,
                                                        std::uint16_t port);

enum class connect_error : std::uint8_t {
  kRefused,      // No process listens on the port.
  kTimeout,      // No reply by the deadline.
  kUnreachable,  // Any other failure.
};

// Connects to `host`:`port`. Waits on the calling fiber, at most until
// `deadline`.
result<boost::asio::ip::tcp::socket, connect_error> ConnectTcp(
    io_loop& loop, const std::string& host, std::uint16_t port,
    time_point deadline);

}  // namespace hornbeam
