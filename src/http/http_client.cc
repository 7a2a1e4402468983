#include "http/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/answer_rules.h"
#include "http/body_memory.h"
#include "http/message_reader.h"
#include "io/cancel_source.h"
#include "io/fiber_token.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"

namespace hornbeam {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Answers to earlier requests that are skipped before the connection is closed.
constexpr int kMaxStaleAnswers = 4;
// Subtracted from the idle timeout that a server announces, because the server
// starts its timer earlier than the client.
constexpr duration kIdleTimeoutMargin = std::chrono::milliseconds(500);
constexpr std::size_t kMaxIdleConnections = 256;

// Methods whose requests have a length even without a body (RFC 9110, 8.6).
constexpr std::string_view kMethodsWithBody[] = {"POST", "PUT", "PATCH",
                                                 "OPTIONS"};

struct open_connection {
  open_connection(tcp::socket socket, std::size_t buffer_limit_bytes)
      : stream(std::move(socket)), buffer(buffer_limit_bytes) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  time_point usable_until;
};

// Returns the idle timeout that the server announces in the Keep-Alive field,
// in whole seconds, or std::nullopt if it announces none.
std::optional<duration> AnnouncedIdleTimeout(
    const http::response<http::string_body>& answer) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view text = answer[http::field::keep_alive];
  const std::size_t start = text.find(kName);
  if (start == std::string_view::npos) return std::nullopt;
  const std::string_view number = text.substr(start + kName.size());
  unsigned seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

http::request<http::string_body> ToBeast(const http_request& request,
                                         const std::string& host) {
  http::request<http::string_body> sent;
  sent.version(11);
  sent.method_string(request.method);
  sent.target(request.target);
  for (const header_field& field : request.headers) {
    if (!IsHopByHopField(field.name)) sent.insert(field.name, field.value);
  }
  if (sent.find(http::field::host) == sent.end()) {
    sent.set(http::field::host, host);
  }
  sent.body() = request.body;
  // The library's prepare_payload throws for methods that it expects to have no
  // body.
  const bool has_length = !request.body.empty() ||
                          std::ranges::find(kMethodsWithBody, request.method) !=
                              std::end(kMethodsWithBody);
  if (has_length) sent.content_length(request.body.size());
  return sent;
}

http_response ToResponse(http::response<http::string_body>&& received) {
  http_response response{.status = received.result_int(),
                         .body = std::move(received.body())};
  for (const auto& field : received) {
    if (IsHopByHopField(field.name_string())) continue;
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return response;
}

using answer_parser = http::response_parser<http::string_body>;

// Returns whether the transfer codings of an answer are ones that the parser
// has undone: none, or exactly chunked (RFC 9112, 6.1 and 7). No request asks
// for others. The parser ignores those that it does not know.
bool IsValidTransferCoding(const answer_parser& parser) {
  constexpr unsigned kFirstVersionWithCodings = 11;
  const auto& answer = parser.get();
  const auto [first, last] = answer.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  const bool is_usable = std::next(first) == last && parser.chunked() &&
                         answer.version() >= kFirstVersionWithCodings;
  if (!is_usable) return false;
  // Empty elements of a list have no meaning.
  std::string_view coding = first->value();
  const std::size_t start = coding.find_first_not_of(" \t,");
  coding.remove_prefix(std::min(start, coding.size()));
  coding = coding.substr(0, coding.find_last_not_of(" \t,") + 1);
  return beast::iequals(coding, "chunked");
}

// Returns whether the head that was read may belong to an interim or a final
// answer. The parser takes every status of three digits.
bool IsValidHead(const answer_parser& parser) {
  const auto& answer = parser.get();
  const unsigned status = answer.result_int();
  return (IsInterimStatus(status) || IsFinalStatus(status)) &&
         IsValidTransferCoding(parser) &&
         std::ranges::none_of(answer, [](const auto& field) {
           return FindFieldDefect(field.name_string(), field.value())
               .has_value();
         });
}

// An open idle connection has nothing to read. Pending bytes or an error mean
// that it was closed or is out of step.
bool IsStillOpen(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek,
                 error);
  return error == boost::asio::error::would_block;
}

class beast_http_client final : public http_client {
 public:
  beast_http_client(io_loop& loop, std::string host, std::uint16_t port,
                    http_client_options options, const clock_source& clock)
      : loop_(loop),
        host_(std::move(host)),
        port_(port),
        options_(std::move(options)),
        clock_(clock),
        body_memory_(options_.total_answer_limit_bytes) {}

  result<http_response, http_call_error> Call(
      const http_request& request, time_point deadline, cancel_source& cancel,
      connection_choice choice) override {
    auto connection =
        choice == connection_choice::kPooled ? TakeIdleConnection() : nullptr;
    if (!connection) connection = Connect(deadline);
    if (!connection) return http_call_error::kNotSent;
    if (cancel.IsCancelled()) return http_call_error::kNotSent;
    beast::tcp_stream& stream = connection->stream;
    const cancel_registration registration(cancel, [&stream] {
      boost::system::error_code ignored;
      stream.socket().close(ignored);
    });
    auto answer = Exchange(*connection, request, deadline);
    if (!answer && cancel.IsCancelled()) return http_call_error::kCancelled;
    if (!answer) return answer.error();
    // Bytes after a complete answer belong to no request, so the connection is
    // not reused.
    const bool is_clean = connection->buffer.size() == 0;
    if (answer.value().keep_alive() && is_clean) {
      ReturnToPool(std::move(connection), AnnouncedIdleTimeout(answer.value()));
    }
    return ToResponse(std::move(answer).value());
  }

 private:
  using exchange_result =
      result<http::response<http::string_body>, http_call_error>;

  std::unique_ptr<open_connection> TakeIdleConnection() {
    const time_point now = clock_.Now();
    while (!idle_.empty()) {
      auto connection = std::move(idle_.back());
      idle_.pop_back();
      const bool usable = now < connection->usable_until &&
                          IsStillOpen(connection->stream.socket());
      if (usable) return connection;
    }
    return nullptr;
  }

  std::unique_ptr<open_connection> Connect(time_point deadline) {
    auto socket = ConnectTcp(loop_, host_, port_, deadline);
    if (!socket) return nullptr;
    boost::system::error_code ignored;
    socket.value().set_option(tcp::no_delay(true), ignored);
    return std::make_unique<open_connection>(std::move(socket).value(),
                                             2 * options_.head_limit_bytes);
  }

  exchange_result Exchange(open_connection& connection,
                           const http_request& request, time_point deadline) {
    boost::system::error_code error;
    const auto sent = ToBeast(request, host_);
    connection.stream.expires_at(
        std::chrono::steady_clock::time_point(deadline));
    http::async_write(connection.stream, sent, FiberWait(error));
    if (error == beast::error::timeout) return http_call_error::kTimeout;
    if (error) return http_call_error::kLost;
    for (int skipped = 0; skipped < kMaxStaleAnswers; ++skipped) {
      answer_parser parser;
      parser.header_limit(
          static_cast<std::uint32_t>(options_.head_limit_bytes));
      parser.body_limit(options_.answer_limit_bytes);
      if (request.method == "HEAD") parser.skip(true);
      error = ReadAnswer(connection, parser);
      if (error) return ToError(error);
      if (IsInterimStatus(parser.get().result_int())) continue;
      switch (CompareEcho(request, parser.get())) {
        case echo::kSame:
          return parser.release();
        case echo::kUnclear:
          return http_call_error::kMalformed;
        case echo::kOther:
          break;
      }
    }
    return http_call_error::kMalformed;
  }

  // Reads one answer within the limit on all bodies that are being received.
  // Fails as soon as its head is known to be invalid.
  boost::system::error_code ReadAnswer(open_connection& connection,
                                       answer_parser& parser) {
    boost::system::error_code error;
    body_memory::claim body(body_memory_);
    bool head_checked = false;
    // Parses the head and the body that arrived with it in one step.
    parser.eager(true);
    while (!error && !parser.is_done()) {
      error = ReadSome(connection.stream, connection.buffer, parser);
      if (!error && !head_checked && parser.is_header_done()) {
        head_checked = true;
        if (!IsValidHead(parser)) error = http::error::bad_status;
      }
      if (!body.Grow(parser.get().body().size()))
        error = http::error::body_limit;
    }
    return error;
  }

  enum class echo : std::uint8_t { kSame, kOther, kUnclear };

  [[nodiscard]] echo CompareEcho(
      const http_request& request,
      const http::response<http::string_body>& answer) const {
    if (options_.echoed_field.empty()) return echo::kSame;
    const auto requested = request.Header(options_.echoed_field);
    if (!requested) return echo::kSame;
    const auto [first, last] = answer.equal_range(options_.echoed_field);
    if (first == last || std::next(first) != last) return echo::kUnclear;
    return std::string_view(first->value()) == *requested ? echo::kSame
                                                          : echo::kOther;
  }

  static http_call_error ToError(const boost::system::error_code& error) {
    if (error == beast::error::timeout) return http_call_error::kTimeout;
    if (error == http::error::buffer_overflow)
      return http_call_error::kMalformed;
    if (error == http::error::body_limit) return http_call_error::kTooLarge;
    const bool cut_off = error == http::error::end_of_stream ||
                         error == http::error::partial_message;
    const bool is_http =
        error.category() == make_error_code(http::error::bad_method).category();
    return is_http && !cut_off ? http_call_error::kMalformed
                               : http_call_error::kLost;
  }

  void ReturnToPool(std::unique_ptr<open_connection> connection,
                    std::optional<duration> announced) {
    if (idle_.size() >= kMaxIdleConnections) return;
    duration idle_time = options_.max_idle_time;
    if (announced)
      idle_time = std::min(idle_time, *announced - kIdleTimeoutMargin);
    if (idle_time <= duration(0)) return;
    connection->stream.expires_never();
    connection->usable_until = clock_.Now() + idle_time;
    idle_.push_back(std::move(connection));
  }

  io_loop& loop_;
  const std::string host_;
  const std::uint16_t port_;
  const http_client_options options_;
  const clock_source& clock_;
  std::vector<std::unique_ptr<open_connection>> idle_;
  body_memory body_memory_;
};

}  // namespace

std::unique_ptr<http_client> http_client::MakeHttpClient(
    io_loop& loop, const std::string& host, std::uint16_t port,
    std::size_t answer_limit_bytes, const clock_source& clock) {
  return MakeHttpClient(
      loop, host, port,
      http_client_options{.answer_limit_bytes = answer_limit_bytes}, clock);
}

std::unique_ptr<http_client> http_client::MakeHttpClient(
    io_loop& loop, const std::string& host, std::uint16_t port,
    http_client_options options, const clock_source& clock) {
  return std::make_unique<beast_http_client>(loop, host, port,
                                             std::move(options), clock);
}

}  // namespace hornbeam
