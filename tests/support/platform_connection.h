// Blocking HTTP connections of tests to the platform's daemon.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

// Returns the endpoint of "ip:port".
boost::asio::ip::tcp::endpoint ParseTcpEndpoint(const std::string& address);

// One request and its answer on a kept connection, without any interpretation.
struct platform_answer {
  int status = 0;  // 0: the connection ended without an answer.
  std::string head;
  std::string body;

  // Whether the upstream itself made the answer.
  [[nodiscard]] bool IsOfUpstream() const {
    return head.find("X-Response-Signature") != std::string::npos;
  }
};

// A blocking connection to one address. Calls throw nothing: a failure shows as
// an empty result.
class platform_connection {
 public:
  explicit platform_connection(const std::string& address);

  // Limits the time until an answer begins.
  void SetTimeLimit(std::chrono::milliseconds limit) { time_limit_ = limit; }

  // Sends one request and waits for its answer.
  platform_answer Call(std::string_view method, std::string_view target,
                       const std::string& fields, const std::string& body = {});

 private:
  // Returns false if the time limit passes first.
  bool WaitForAnswer();

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::optional<std::chrono::milliseconds> time_limit_;
};

}  // namespace hornbeam
