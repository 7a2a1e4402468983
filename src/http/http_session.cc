#include "http/http_session.h"

#include <mutex>
#include <string>
#include <utility>

#include "http/body_memory.h"
#include "http/message_reader.h"
#include "io/fiber_group.h"
#include "io/fiber_token.h"

namespace hornbeam {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Time in which a caller may take the last answer of a connection that is
// drained or whose last request was rejected. A connection that is closed while
// its caller still sends is reset, and the answer may be lost with it.
constexpr duration kLingerTime = std::chrono::seconds(1);

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

}  // namespace

http_session::http_session(tcp::socket socket, http_handler& handler,
                           const http_server_options& options,
                           body_memory& request_memory, fiber_group& fibers,
                           const clock_source& clock)
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

void http_session::Run() {
  while (!read_ended_ && ReadRequest()) {
  }
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return exchanges_.empty() && !writing_; });
  Shutdown();
}

void http_session::CloseIfIdle() {
  close_when_idle_ = true;
  StopReadingIfIdle();
}

void http_session::CloseIfIdleSince(time_point limit) {
  if (idle_since_ <= limit) StopReadingIfIdle();
}

void http_session::StopReadingIfIdle() {
  if (!idle_ || !exchanges_.empty() || write_ended_) return;
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_receive, ignored);
}

bool http_session::ReadRequest() {
  request_parser parser;
  parser.header_limit(static_cast<std::uint32_t>(options_.header_limit_bytes));
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

boost::system::error_code http_session::ReadBody(request_parser& parser) {
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

bool http_session::WaitForRequestSlot() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] {
    return read_ended_ || exchanges_.size() < kMaxConcurrentRequests;
  });
  return !read_ended_;
}

bool http_session::WaitForFirstByte() {
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

bool http_session::TakesRequests() const {
  if (has_last_answer_) return false;
  return !draining_ || exchanges_.empty() ||
         (exchanges_.size() == 1 && writing_kept_alive_);
}

bool http_session::EndReading() {
  if (read_ended_) return false;
  read_ended_ = true;
  changed_.notify_all();
  for (const auto& each : exchanges_) each->caller_disconnected.Cancel();
  return false;
}

bool http_session::WantsContinue(
    const http::request<http::string_body>& request) {
  return beast::iequals(request[http::field::expect], "100-continue");
}

void http_session::SendContinue(
    const http::request<http::string_body>& request) {
  if (!exchanges_.empty() || writing_ || has_last_answer_) return;
  http::response<http::empty_body> interim{http::status::continue_,
                                           request.version()};
  boost::system::error_code error;
  http::async_write(stream_, interim, FiberWait(error));
}

bool http_session::RejectRequest(const boost::system::error_code& error) {
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

bool http_session::Handle(http::request<http::string_body> received) {
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

bool http_session::WatchForDisconnect() {
  while (!read_ended_ && WaitForFirstByte()) buffer_.consume(buffer_.size());
  return EndReading();
}

void http_session::Flush() {
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

void http_session::Write(exchange& answered) {
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

void http_session::Linger() {
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

void http_session::Shutdown() {
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream_.socket().close(ignored);
}

}  // namespace hornbeam
