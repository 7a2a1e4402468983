#include "wire/frame_listener.h"

#include <utility>

#include "hornbeam/clock_source.h"
#include "io/fiber_group.h"
#include "io/fiber_token.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"

namespace hornbeam {

namespace {

// Delay after a failed accept, for example because of too many open files.
constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

std::unique_ptr<frame_listener> frame_listener::MakeFrameListener(
    io_loop& loop, const endpoint& address, const clock_source& clock) {
  auto acceptor = ListenTcp(loop, address.host, address.port);
  if (!acceptor) return nullptr;
  return std::unique_ptr<frame_listener>(
      new frame_listener(std::move(*acceptor), clock));
}

frame_listener::frame_listener(boost::asio::ip::tcp::acceptor acceptor,
                               const clock_source& clock)
    : acceptor_(std::move(acceptor)), clock_(clock) {}

void frame_listener::Start(frame_handler_factory& factory,
                           fiber_group& fibers) {
  fibers.Start([this, &factory, &fibers] {
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(acceptor_.get_executor());
      acceptor_.async_accept(socket, FiberWait(error));
      if (!acceptor_.is_open()) return;
      if (error) {
        io_loop::SleepFor(kAcceptRetryDelay);
        continue;
      }
      frame_connection::MakeFrameConnection(std::move(socket), clock_)
          ->Start(factory.MakeFrameHandler(), fibers);
    }
  });
}

void frame_listener::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

endpoint frame_listener::Address() const {
  boost::system::error_code ignored;
  const auto bound = acceptor_.local_endpoint(ignored);
  return endpoint{.host = bound.address().to_string(), .port = bound.port()};
}

}  // namespace hornbeam
