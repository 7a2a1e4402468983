// HTTP/1.1 server on one address.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "hornbeam/clock_source.h"
#include "http/http_messages.h"

namespace hornbeam {

class cancel_source;
class fiber_group;
class io_loop;

// Handles requests. Each request is handled on its own fiber, which may block.
class http_handler {
 public:
  http_handler() = default;
  http_handler(const http_handler&) = delete;
  http_handler& operator=(const http_handler&) = delete;
  virtual ~http_handler() = default;

  // Returns the answer to `request`. `caller_disconnected` is cancelled if the
  // caller closes the connection before its answer is sent.
  virtual http_response Handle(const http_request& request,
                               cancel_source& caller_disconnected) = 0;
};

struct http_server_options {
  std::size_t header_limit_bytes = 16UL * 1024;
  std::size_t body_limit_bytes = 8UL * 1024 * 1024;
  // Limit on the bodies of all requests that are being received. A request
  // above its equal share is rejected with 503, so that requests without an end
  // neither exhaust the memory nor affect others.
  std::size_t total_body_limit_bytes = 64UL * 1024 * 1024;
  std::size_t connection_limit = 1024;
  // Maximum time to receive a request after its first byte, and to send a
  // response.
  duration transfer_timeout = std::chrono::seconds(10);
  // Maximum time until the next request of a connection begins.
  duration idle_timeout = std::chrono::seconds(60);
};

// Limits connections, bytes and time per caller, so that slow or malformed
// requests never affect other callers. Owned by the daemon; used on the I/O
// thread only.
class http_server {
 public:
  // Returns null if the address cannot be bound. `loop` and `clock` outlive the
  // server.
  static std::unique_ptr<http_server> MakeHttpServer(
      io_loop& loop, const std::string& host, std::uint16_t port,
      const http_server_options& options, const clock_source& clock);
  virtual ~http_server() = default;
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Accepts and serves connections on fibers of `fibers` until Drain is called.
  virtual void Start(http_handler& handler, fiber_group& fibers) = 0;

  // Stops accepting connections, closes idle ones after a short grace period,
  // and lets each request in progress complete with its answer. Requests that
  // callers send behind those are not read.
  virtual void Drain() = 0;

  // Returns the bound port.
  [[nodiscard]] virtual std::uint16_t Port() const = 0;

 protected:
  http_server() = default;
};

}  // namespace hornbeam
