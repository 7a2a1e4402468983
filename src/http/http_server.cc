#include "http/http_server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <ranges>
#include <unordered_set>
#include <utility>

#include "http/body_memory.h"
#include "http/message_reader.h"
#include "io/cancel_source.h"
#include "io/fiber_group.h"
#include "io/fiber_token.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"

namespace hornbeam {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Number of checks for idle connections per idle timeout.
constexpr int kIdleChecksPerTimeout = 10;
// Time from the start of a drain until idle connections are closed; see Drain.
constexpr duration kDrainGracePeriod = std::chrono::milliseconds(500);
// Time in which a caller may take the last answer of a connection that is
// drained or whose last request was rejected. A connection that is closed while
// its caller still sends is reset, and the answer may be lost with it.
constexpr duration kLingerTime = std::chrono::seconds(1);

using request_parser = http::request_parser<http::string_body>;
using beast_response = http::response<http::string_body>;

http_request ToRequest(http::request<http::string_body>&& received) {
  http_request request{.method = std::string(received.method_string()),
                       .target = std::string(received.target()),
                       .body = std::move(received.body())};
  for (const auto& field : received) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

beast_response ToBeast(http_response&& response, unsigned version,
                       bool keep_alive, bool head_only) {
  beast_response sent;
  sent.version(version);
  sent.result(response.status);
  for (const header_field& field : response.headers) {
    if (!IsHopByHopField(field.name)) sent.insert(field.name, field.value);
  }
  sent.keep_alive(keep_alive);
  const std::size_t size = response.body.size();
  if (!head_only) sent.body() = std::move(response.body);
  sent.content_length(size);
  return sent;
}

// Returns the status for a request that could not be read, or std::nullopt if
// the caller disconnected and needs no answer.
std::optional<unsigned> ErrorStatus(const boost::system::error_code& error) {
  if (error == boost::asio::error::no_memory) return 503;
  if (error == http::error::buffer_overflow) return 400;
  if (error == http::error::body_limit) return 413;
  if (error == http::error::header_limit) return 431;
  if (error == beast::error::timeout) return 408;
  if (error == http::error::end_of_stream) return std::nullopt;
  if (error.category() == make_error_code(http::error::bad_method).category()) {
    return error == http::error::partial_message ? std::nullopt
                                                 : std::optional(400U);
  }
  return std::nullopt;
}

http_response MakeErrorResponse(unsigned status) {
  http_response response = MakeTextResponse(
      status,
      std::string(http::obsolete_reason(http::int_to_status(status))) + "\n");
  response.headers.push_back({"Hornbeam-Outcome", "not-run"});
  response.headers.push_back(
      {"Hornbeam-Reason", "the request could not be read"});
  return response;
}

// One caller's connection; shared by its fibers.
//
// Supports pipelining: requests are read ahead and handled concurrently, each
// on its own fiber, and answered in the order of the requests. The session
// keeps reading while requests are handled, so it also detects a caller that
// disconnects.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(tcp::socket socket, http_handler& handler,
               const http_server_options& options, body_memory& request_memory,
               fiber_group& fibers, const clock_source& clock)
      : stream_(std::move(socket)),
        buffer_(kFirstReadBytes + 2 * options.header_limit_bytes),
        handler_(handler),
        options_(options),
        request_memory_(request_memory),
        fibers_(fibers),
        clock_(clock),
        idle_since_(clock.Now()) {
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
  }

  void Run() {
    while (!read_ended_ && ReadRequest()) {
    }
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return exchanges_.empty() && !writing_; });
    Shutdown();
  }

  // The last answer announces that the connection closes; see CloseIfIdle.
  void BeginDrain() { draining_ = true; }

  void CloseIfIdle() {
    close_when_idle_ = true;
    StopReadingIfIdle();
  }

  void CloseIfIdleSince(time_point limit) {
    if (idle_since_ <= limit) StopReadingIfIdle();
  }

 private:
  // One request and its answer.
  struct exchange {
    http_request request;
    cancel_source caller_disconnected;
    std::optional<http_response> response;
    unsigned version = kHttp11;
    bool wants_keep_alive = true;
    bool head_only = false;
  };

  void StopReadingIfIdle() {
    if (!idle_ || !exchanges_.empty() || write_ended_) return;
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_receive, ignored);
  }

  // Reads one request and starts its handler; returns false after the last
  // request.
  bool ReadRequest() {
    request_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(options_.header_limit_bytes));
    parser.body_limit(options_.body_limit_bytes);
    boost::system::error_code error;
    if (!WaitForRequestSlot() || !WaitForFirstByte()) return EndReading();
    if (!TakesRequests()) return WatchForDisconnect();
    stream_.expires_after(options_.transfer_timeout);
    while (!error && !parser.is_header_done())
      error = ReadSome(stream_, buffer_, parser);
    if (!error && WantsContinue(parser.get())) SendContinue(parser.get());
    if (!error) error = ReadBody(parser);
    if (error) return RejectRequest(error);
    return Handle(parser.release());
  }

  boost::system::error_code ReadBody(request_parser& parser) {
    boost::system::error_code error;
    body_memory::claim body(request_memory_);
    parser.eager(true);
    while (!error && !parser.is_done()) {
      error = ReadSome(stream_, buffer_, parser);
      if (!body.Grow(parser.get().body().size()))
        error = boost::asio::error::no_memory;
    }
    return error;
  }

  bool WaitForRequestSlot() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] {
      return read_ended_ || exchanges_.size() < kMaxConcurrentRequests;
    });
    return !read_ended_;
  }

  bool WaitForFirstByte() {
    if (buffer_.size() > 0) return true;
    if (close_when_idle_ && exchanges_.empty() && !write_ended_) return false;
    idle_ = true;
    boost::system::error_code error;
    stream_.expires_never();
    const std::size_t size = stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes), FiberWait(error));
    buffer_.commit(size);
    idle_ = false;
    return !error;
  }

  // A request behind the last answer is not read, nor, while draining, one
  // behind a request whose answer will be the last; the caller sends it again
  // elsewhere.
  [[nodiscard]] bool TakesRequests() const {
    if (has_last_answer_) return false;
    return !draining_ || exchanges_.empty() ||
           (exchanges_.size() == 1 && writing_kept_alive_);
  }

  // Called when the caller has closed the connection: cancels all handlers,
  // because their answers cannot be delivered.
  bool EndReading() {
    if (read_ended_) return false;
    read_ended_ = true;
    changed_.notify_all();
    for (const auto& each : exchanges_) each->caller_disconnected.Cancel();
    return false;
  }

  static bool WantsContinue(const http::request<http::string_body>& request) {
    return beast::iequals(request[http::field::expect], "100-continue");
  }

  // Omitted while earlier answers are pending: callers send the body after a
  // timeout anyway.
  void SendContinue(const http::request<http::string_body>& request) {
    if (!exchanges_.empty() || writing_ || has_last_answer_) return;
    http::response<http::empty_body> interim{http::status::continue_,
                                             request.version()};
    boost::system::error_code error;
    http::async_write(stream_, interim, FiberWait(error));
  }

  bool RejectRequest(const boost::system::error_code& error) {
    const auto status = ErrorStatus(error);
    if (!status) return EndReading();
    const auto rejected = std::make_shared<exchange>();
    rejected->wants_keep_alive = false;
    rejected->response = MakeErrorResponse(*status);
    rejected_ = true;
    exchanges_.push_back(rejected);
    Flush();
    return WatchForDisconnect();
  }

  // A request that was half read when the last answer was decided on has no
  // answer any more, so it must not run either.
  bool Handle(http::request<http::string_body> received) {
    if (has_last_answer_) return WatchForDisconnect();
    const auto pending = std::make_shared<exchange>();
    pending->version = received.version();
    pending->wants_keep_alive = received.keep_alive();
    pending->head_only = received.method() == http::verb::head;
    pending->request = ToRequest(std::move(received));
    exchanges_.push_back(pending);
    fibers_.Start([self = shared_from_this(), pending] {
      pending->response =
          self->handler_.Handle(pending->request, pending->caller_disconnected);
      self->Flush();
    });
    return pending->wants_keep_alive || WatchForDisconnect();
  }

  // After the last request, reads only to detect the end of the connection.
  bool WatchForDisconnect() {
    while (!read_ended_ && WaitForFirstByte()) buffer_.consume(buffer_.size());
    return EndReading();
  }

  // Writes the answers at the front of the queue that are ready.
  void Flush() {
    if (writing_) return;
    writing_ = true;
    while (!exchanges_.empty() && exchanges_.front()->response) {
      const auto answered = exchanges_.front();
      if (!write_ended_ && !answered->caller_disconnected.IsCancelled())
        Write(*answered);
      exchanges_.pop_front();
    }
    writing_ = false;
    idle_since_ = clock_.Now();
    if (close_when_idle_ && exchanges_.empty()) StopReadingIfIdle();
    changed_.notify_all();
  }

  void Write(exchange& answered) {
    // Requests that were already read are still answered on this connection.
    const bool is_last = draining_ && exchanges_.size() == 1;
    const bool keep_alive = answered.wants_keep_alive && !is_last;
    has_last_answer_ = !keep_alive;
    const beast_response sent =
        ToBeast(std::move(*answered.response), answered.version, keep_alive,
                answered.head_only);
    boost::system::error_code error;
    stream_.expires_after(options_.transfer_timeout);
    writing_kept_alive_ = keep_alive;
    http::async_write(stream_, sent, FiberWait(error));
    writing_kept_alive_ = false;
    if (!error && keep_alive) return;
    has_last_answer_ = true;
    write_ended_ = true;
    if (!error && (draining_ || rejected_)) return Linger();
    boost::system::error_code ignored;
    // Unblocks a reader that waits for the next request.
    stream_.socket().shutdown(
        error ? tcp::socket::shutdown_both : tcp::socket::shutdown_receive,
        ignored);
  }

  // Ends the answers, and the reading once the caller has closed or had time
  // to.
  void Linger() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    fibers_.Start([self = shared_from_this()] {
      std::unique_lock lock(self->mutex_);
      self->changed_.wait_until(lock, self->clock_.Now() + kLingerTime,
                                [&self] { return self->read_ended_; });
      boost::system::error_code closed;
      self->stream_.socket().shutdown(tcp::socket::shutdown_receive, closed);
    });
  }

  void Shutdown() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  static constexpr std::size_t kFirstReadBytes = 8192;
  static constexpr unsigned kHttp11 = 11;
  // Requests of one connection that are handled concurrently.
  static constexpr std::size_t kMaxConcurrentRequests = 16;

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
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

class beast_http_server final : public http_server {
 public:
  beast_http_server(tcp::acceptor acceptor, const http_server_options& options,
                    const clock_source& clock)
      : acceptor_(std::move(acceptor)),
        options_(options),
        request_memory_(options.total_body_limit_bytes),
        clock_(clock) {}

  void Start(http_handler& handler, fiber_group& fibers) override {
    fibers_ = &fibers;
    fibers.Start([this, &handler, &fibers] { AcceptLoop(handler, fibers); });
    fibers.Start([this] { CloseIdleLoop(); });
  }

  void Drain() override {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    drained_.notify_all();
    for (http_session* session : sessions_) session->BeginDrain();
    // A caller may be sending a request on an idle connection at this moment.
    // The grace period lets it receive its answer, which also announces that
    // the connection closes.
    fibers_->Start([this] {
      io_loop::SleepFor(kDrainGracePeriod);
      for (http_session* session : sessions_) session->CloseIfIdle();
    });
  }

  [[nodiscard]] std::uint16_t Port() const override {
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }

 private:
  void AcceptLoop(http_handler& handler, fiber_group& fibers) {
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.async_accept(socket, FiberWait(error));
      if (!acceptor_.is_open()) return;
      if (error) {
        io_loop::SleepFor(kAcceptRetryDelay);
        continue;
      }
      // A connection over the limit is closed immediately: nothing was read.
      if (sessions_.size() >= options_.connection_limit) continue;
      StartSession(std::move(socket), handler, fibers);
    }
  }

  void CloseIdleLoop() {
    while (acceptor_.is_open()) {
      std::unique_lock lock(mutex_);
      drained_.wait_until(
          lock, clock_.Now() + options_.idle_timeout / kIdleChecksPerTimeout,
          [this] { return !acceptor_.is_open(); });
      const time_point limit = clock_.Now() - options_.idle_timeout;
      for (http_session* session : sessions_) session->CloseIfIdleSince(limit);
    }
  }

  void StartSession(tcp::socket socket, http_handler& handler,
                    fiber_group& fibers) {
    const auto session = std::make_shared<http_session>(
        std::move(socket), handler, options_, request_memory_, fibers, clock_);
    sessions_.insert(session.get());
    fibers.Start([this, session] {
      session->Run();
      sessions_.erase(session.get());
    });
  }

  tcp::acceptor acceptor_;
  const http_server_options options_;
  body_memory request_memory_;
  const clock_source& clock_;
  fiber_group* fibers_ = nullptr;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable drained_;
  std::unordered_set<http_session*> sessions_;
};

}  // namespace

std::unique_ptr<http_server> http_server::MakeHttpServer(
    io_loop& loop, const std::string& host, std::uint16_t port,
    const http_server_options& options, const clock_source& clock) {
  auto acceptor = ListenTcp(loop, host, port);
  if (!acceptor) return nullptr;
  return std::make_unique<beast_http_server>(std::move(*acceptor), options,
                                             clock);
}

}  // namespace hornbeam
