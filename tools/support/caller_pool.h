// Pool of keep-alive HTTP connections from a test caller to several nodes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace hornbeam {

// One HTTP call of a caller.
struct caller_request {
  std::string method = "GET";
  std::string target;
  std::string key;  // Idempotency key; not sent when empty.
  std::string body;
  std::chrono::milliseconds deadline{0};  // Not sent when 0.
};

// Response to a call; the status is 0 when no complete response arrived.
struct caller_response {
  int status = 0;
  std::string outcome;  // The Hornbeam-Outcome header.
  std::string reason;   // The Hornbeam-Reason header, or the pool's own error
                        // text.
  std::string request_id;
  std::string body;
};

// Owned by the sender of the calls. Single-threaded. A call does not wait for a
// connection: when all allowed connections to its node are in use, it fails.
class caller_pool {
 public:
  caller_pool(const std::vector<boost::asio::ip::tcp::endpoint>& nodes,
              std::size_t connections_per_node,
              std::chrono::milliseconds timeout);

  // Sends `request` to the node of index `node`. When a kept connection turns
  // out to be closed, the call is sent again on a new one; when the node cannot
  // be connected to, it goes to the next node.
  boost::asio::awaitable<caller_response> Send(std::size_t node,
                                               const caller_request& request);

  // Returns how often calls were sent again, on a new connection or to another
  // node.
  [[nodiscard]] std::size_t Retries() const { return retries_; }

 private:
  // The connections to one node.
  struct node_connections {
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle;
    std::size_t open = 0;
  };

  // Result of one attempt on one connection.
  struct attempt {
    bool connected = false;
    // A kept connection was closed before the first byte of the response.
    bool stale = false;
    caller_response response;
  };

  boost::asio::awaitable<attempt> TryOnce(node_connections& target,
                                          const caller_request& request,
                                          bool may_reuse);

  std::vector<node_connections> nodes_;
  std::size_t connections_per_node_;
  std::chrono::milliseconds timeout_;
  std::size_t retries_ = 0;
};

}  // namespace hornbeam
