// One connection of an HTTP server.
//
// Include this only in .cc files of this module: Beast is slow to compile.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "hornbeam/clock_source.h"
#include "http/http_messages.h"
#include "http/http_server.h"
#include "io/cancel_source.h"

namespace hornbeam {

class body_memory;
class fiber_group;

// One caller's connection; shared by its fibers.
//
// Supports pipelining: requests are read ahead and handled concurrently, each
// on its own fiber, and answered in the order of the requests. The session
// keeps reading while requests are handled, so it also detects a caller that
// disconnects.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(boost::asio::ip::tcp::socket socket, http_handler& handler,
               const http_server_options& options, body_memory& request_memory,
               fiber_group& fibers, const clock_source& clock);

  void Run();

  // The last answer announces that the connection closes; see CloseIfIdle.
  void BeginDrain() { draining_ = true; }

  void CloseIfIdle();

  void CloseIfIdleSince(time_point limit);

 private:
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  // One request and its answer.
  struct exchange {
    http_request request;
    cancel_source caller_disconnected;
    std::optional<http_response> response;
    unsigned version = kHttp11;
    bool wants_keep_alive = true;
    bool head_only = false;
  };

  void StopReadingIfIdle();

  // Reads one request and starts its handler; returns false after the last
  // request.
  bool ReadRequest();

  boost::system::error_code ReadBody(request_parser& parser);

  bool WaitForRequestSlot();

  bool WaitForFirstByte();

  // A request behind the last answer is not read, nor, while draining, one
  // behind a request whose answer will be the last; the caller sends it again
  // elsewhere.
  [[nodiscard]] bool TakesRequests() const;

  // Called when the caller has closed the connection: cancels all handlers,
  // because their answers cannot be delivered.
  bool EndReading();

  static bool WantsContinue(
      const boost::beast::http::request<boost::beast::http::string_body>&
          request);

  // Omitted while earlier answers are pending: callers send the body after a
  // timeout anyway.
  void SendContinue(
      const boost::beast::http::request<boost::beast::http::string_body>&
          request);

  bool RejectRequest(const boost::system::error_code& error);

  // A request that was half read when the last answer was decided on has no
  // answer any more, so it must not run either.
  bool Handle(
      boost::beast::http::request<boost::beast::http::string_body> received);

  // After the last request, reads only to detect the end of the connection.
  bool WatchForDisconnect();

  // Writes the answers at the front of the queue that are ready.
  void Flush();

  void Write(exchange& answered);

  // Ends the answers, and the reading once the caller has closed or had time
  // to.
  void Linger();

  void Shutdown();

  static constexpr std::size_t kFirstReadBytes = 8192;
  static constexpr unsigned kHttp11 = 11;
  // Requests of one connection that are handled concurrently.
  static constexpr std::size_t kMaxConcurrentRequests = 16;

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http_handler& handler_;
  const http_server_options& options_;
  body_memory& request_memory_;
  fiber_group& fibers_;
  const clock_source& clock_;
  std::deque<std::shared_ptr<exchange>> exchanges_;
  time_point idle_since_;
  bool writing_ = false;
  bool writing_kept_alive_ = false;  // An answer after which more may follow.
  // An answer was begun that announces the end of the connection, or could not
  // be sent.
  bool has_last_answer_ = false;
  bool write_ended_ = false;  // No more answers are written.
  bool idle_ = false;
  bool draining_ = false;
  bool rejected_ = false;  // A request was not read to its end.
  bool close_when_idle_ = false;
  bool read_ended_ = false;  // No more requests are read.
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
