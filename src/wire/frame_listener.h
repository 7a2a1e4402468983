// Accepts connections that carry frames.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "hornbeam/result.h"
#include "wire/endpoint.h"
#include "wire/frame_connection.h"

namespace hornbeam {

class clock_source;
class fiber_group;
class io_loop;

// Creates the handler of each accepted connection.
class frame_handler_factory {
 public:
  frame_handler_factory() = default;
  frame_handler_factory(const frame_handler_factory&) = delete;
  frame_handler_factory& operator=(const frame_handler_factory&) = delete;
  virtual ~frame_handler_factory() = default;

  virtual std::shared_ptr<frame_handler> MakeFrameHandler() = 0;
};

// Accepts connections on one address. Owned by the daemon, which calls Stop
// before it waits for the fiber group.
class frame_listener {
 public:
  // Returns null if the address cannot be bound.
  static std::unique_ptr<frame_listener> MakeFrameListener(
      io_loop& loop, const endpoint& address, const clock_source& clock);

  // Accepts connections on a fiber of `fibers` until Stop. The arguments
  // outlive the listener.
  void Start(frame_handler_factory& factory, fiber_group& fibers);
  void Stop();

  // Returns the bound address, with the actual port if port 0 was requested.
  [[nodiscard]] endpoint Address() const;

 private:
  frame_listener(boost::asio::ip::tcp::acceptor acceptor,
                 const clock_source& clock);

  boost::asio::ip::tcp::acceptor acceptor_;
  const clock_source& clock_;
};

}  // namespace hornbeam
