#include "io/tcp_sockets.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "io/fiber_token.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> MakeEndpoint(const std::string& host,
                                          std::uint16_t port) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, port);
}

connect_error ToConnectError(const boost::system::error_code& error) {
  if (error == boost::asio::error::connection_refused) {
    return connect_error::kRefused;
  }
  if (error == boost::asio::error::operation_aborted) {
    return connect_error::kTimeout;
  }
  return connect_error::kUnreachable;
}

}  // namespace

std::optional<tcp::acceptor> ListenTcp(io_loop& loop, const std::string& host,
                                       std::uint16_t port) {
  const auto address = MakeEndpoint(host, port);
  if (!address) return std::nullopt;
  boost::system::error_code error;
  tcp::acceptor acceptor(loop.context());
  acceptor.open(address->protocol(), error);
  if (error) return std::nullopt;
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(*address, error);
  if (error) return std::nullopt;
  acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) return std::nullopt;
  return acceptor;
}

result<tcp::socket, connect_error> ConnectTcp(io_loop& loop,
                                              const std::string& host,
                                              std::uint16_t port,
                                              time_point deadline) {
  const auto address = MakeEndpoint(host, port);
  if (!address) return connect_error::kUnreachable;
  // The timer's handler may run after this function has returned.
  const auto socket = std::make_shared<tcp::socket>(loop.context());
  boost::asio::steady_timer timer(
      loop.context(), std::chrono::steady_clock::time_point(deadline));
  timer.async_wait([weak = std::weak_ptr(socket)](
                       const boost::system::error_code& timer_error) {
    const auto connecting = weak.lock();
    if (timer_error || !connecting) return;
    boost::system::error_code ignored;
    connecting->close(ignored);
  });
  boost::system::error_code error;
  socket->async_connect(*address, FiberWait(error));
  timer.cancel();
  if (error) return ToConnectError(error);
  if (!socket->is_open()) return connect_error::kTimeout;
  return std::move(*socket);
}

}  // namespace hornbeam
