#include "support/caller_pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <utility>

#include "base/answer_rules.h"

namespace hornbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kHttpVersion = 11;
constexpr std::uint64_t kResponseBodyLimit = 256ULL << 20U;  // Bytes.

http::request<http::string_body> MakeRequest(const caller_request& request) {
  http::request<http::string_body> message(http::string_to_verb(request.method),
                                           request.target, kHttpVersion);
  message.set(http::field::host, "site");
  if (!request.key.empty()) message.set("Idempotency-Key", request.key);
  if (request.deadline.count() > 0) {
    message.set("Hornbeam-Deadline-Ms",
                std::to_string(request.deadline.count()));
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

caller_response MakeResponse(http::response<http::string_body> message) {
  return caller_response{
      .status = static_cast<int>(message.result_int()),
      .outcome = std::string(message["Hornbeam-Outcome"]),
      .reason = std::string(message["Hornbeam-Reason"]),
      .request_id = std::string(message["Hornbeam-Request-Id"]),
      .body = std::move(message.body())};
}

}  // namespace

caller_pool::caller_pool(const std::vector<asio::ip::tcp::endpoint>& nodes,
                         std::size_t connections_per_node,
                         std::chrono::milliseconds timeout)
    : connections_per_node_(connections_per_node), timeout_(timeout) {
  for (const auto& endpoint : nodes) {
    nodes_.push_back(
        node_connections{.endpoint = endpoint, .idle = {}, .open = 0});
  }
}

asio::awaitable<caller_response> caller_pool::Send(
    std::size_t node, const caller_request& request) {
  attempt last;
  for (std::size_t tried = 0; tried < nodes_.size(); ++tried) {
    node_connections& target = nodes_[(node + tried) % nodes_.size()];
    last = co_await TryOnce(target, request, true);
    if (last.stale) {
      ++retries_;
      last = co_await TryOnce(target, request, false);
    }
    if (last.connected) co_return std::move(last.response);
    ++retries_;
  }
  co_return std::move(last.response);
}

asio::awaitable<caller_pool::attempt> caller_pool::TryOnce(
    node_connections& target, const caller_request& request, bool may_reuse) {
  attempt result;
  std::unique_ptr<beast::tcp_stream> stream;
  const bool reuses = may_reuse && !target.idle.empty();
  if (reuses) {
    stream = std::move(target.idle.back());
    target.idle.pop_back();
  } else {
    if (target.open >= connections_per_node_) {
      result.connected = true;
      result.response.reason = "caller: all connections to the node are in use";
      co_return result;
    }
    ++target.open;
    stream =
        std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_after(timeout_);
    auto [error] = co_await stream->async_connect(target.endpoint, kAwaitTuple);
    if (error) {
      --target.open;
      result.response.reason = "caller: connect: " + error.message();
      co_return result;
    }
    boost::system::error_code ignored;
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }
  result.connected = true;
  stream->expires_after(timeout_);
  const auto message = MakeRequest(request);
  auto [write_error, written] =
      co_await http::async_write(*stream, message, kAwaitTuple);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kResponseBodyLimit);
  boost::system::error_code error = write_error;
  if (!error) {
    auto [read_error, read] =
        co_await http::async_read(*stream, buffer, parser, kAwaitTuple);
    error = read_error;
    if (!error && !IsFinalStatus(parser.get().result_int()))
      error = http::error::bad_status;
  }
  if (error) {
    --target.open;
    result.stale =
        reuses && !parser.got_some() && error != beast::error::timeout;
    result.response.reason = "caller: " + error.message();
    co_return result;
  }
  const bool is_kept_alive = parser.get().keep_alive();
  result.response = MakeResponse(parser.release());
  if (is_kept_alive) {
    stream->expires_never();
    target.idle.push_back(std::move(stream));
  } else {
    --target.open;
  }
  co_return result;
}

}  // namespace hornbeam
