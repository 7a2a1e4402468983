// HTTP/1.1 client of one server with a pool of persistent connections.
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

// Why a call returned no complete answer.
enum class http_call_error : std::uint8_t {
  kNotSent,    // No connection, or cancelled before the first byte was sent.
  kLost,       // Connection lost after bytes were sent; the call may have run.
  kTimeout,    // No complete answer by the deadline; the call may have run.
  kCancelled,  // Cancelled by the caller; the call may have run.
  kTooLarge,   // The answer exceeds the limit; the call ran.
  kMalformed,  // The answer is not valid HTTP or does not belong to the
               // request; the call may have run.
};

// Which connection carries a call.
enum class connection_choice : std::uint8_t {
  kPooled,  // An idle one if there is one.
  kUnused,  // A new one.
};

struct http_client_options {
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
  // Limit on the bodies that are being received at one time, in total. An
  // answer that exceeds its equal share of it ends as kTooLarge, so that
  // answers without an end neither exhaust the memory nor end other calls.
  std::size_t total_answer_limit_bytes = 64UL * 1024 * 1024;
  // Limit on an answer's head, and on everything that is read ahead of the body
  // parser: one chunk header with its extensions, or all trailers.
  std::size_t head_limit_bytes = 64UL * 1024;
  // A connection that was idle for longer is not reused, because the server may
  // be about to close it. A shorter timeout announced by the server takes
  // precedence.
  duration max_idle_time = std::chrono::seconds(20);
  // Field that the server echoes from the request. An answer with another value
  // belongs to an earlier request and is skipped; an answer without the field
  // or with several is malformed. If empty, answers are not checked.
  std::string echoed_field;
};

// Owned by its user; used on the I/O thread only.
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

  // Sends one request and waits for the complete answer. `cancel` closes the
  // connection, which the server may take as a request to stop the call.
  // With connection_choice::kUnused no byte of an earlier exchange can be taken
  // for the answer.
  virtual result<http_response, http_call_error> Call(
      const http_request& request, time_point deadline, cancel_source& cancel,
      connection_choice choice = connection_choice::kPooled) = 0;

 protected:
  http_client() = default;
};

}  // namespace hornbeam
