// Calls one HTTP/1.1 server over connections that are kept open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"
#include "http/http_messages.h"

namespace hornbeam {

class cancel_source;
class io_loop;

// Why a call gave no whole answer.
enum class http_call_error : std::uint8_t {
  kNotSent,    // No connection, or it was closed before the first byte left.
  kLost,       // The connection was lost after bytes had left; it may have run.
  kTimeout,    // No whole answer by the deadline; it may have run.
  kCancelled,  // Given up on request; it may have run.
  kTooLarge,   // The answer is above the limit; it ran.
  kMalformed,  // The answer is no HTTP; it may have run.
};

struct http_client_options {
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
  // A connection that was idle for longer is not used again: the server may be
  // about to close it. A shorter time that the server states goes first.
  duration reuse_limit = std::chrono::seconds(20);
  // Field that the server repeats from the request. An answer with another
  // value belongs to an earlier request and is passed over; one without it is
  // malformed. Empty: answers are not told apart.
  std::string echoed_field;
};

// Owned by its user; for the I/O thread only.
class http_client {
 public:
  static std::unique_ptr<http_client> MakeHttpClient(
      io_loop& loop, const std::string& host, std::uint16_t port,
      std::size_t answer_limit_bytes, const clock_source& clock);
  static std::unique_ptr<http_client> MakeHttpClient(
      io_loop& loop, const std::string& host, std::uint16_t port,
      http_client_options options, const clock_source& clock);
  virtual ~http_client() = default;
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends one request and waits for the whole answer. `cancel` closes the
  // connection, which the server may take as a wish to stop.
  virtual result<http_response, http_call_error> Call(
      const http_request& request, time_point deadline,
      cancel_source& cancel) = 0;

 protected:
  http_client() = default;
};

}  // namespace hornbeam
