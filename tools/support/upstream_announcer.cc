#include "support/upstream_announcer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace hornbeam {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kAnnounceInterval{1};
constexpr std::chrono::seconds kAnnounceTimeout{1};
constexpr int kHttpVersion = 11;
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

// Sends one request on a new connection. Returns whether the status is 2xx.
asio::awaitable<bool> SendOnce(asio::ip::tcp::endpoint node, http::verb verb,
                               std::string body) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kAnnounceTimeout);
  auto [connect_error] = co_await stream.async_connect(node, kAwaitTuple);
  if (connect_error) co_return false;
  http::request<http::string_body> request(verb, "/upstream", kHttpVersion);
  request.set(http::field::host, "node");
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.keep_alive(false);
  request.prepare_payload();
  auto [write_error, written] =
      co_await http::async_write(stream, request, kAwaitTuple);
  if (write_error) co_return false;
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  auto [read_error, read] =
      co_await http::async_read(stream, buffer, response, kAwaitTuple);
  co_return !read_error && http::to_status_class(response.result()) ==
                               http::status_class::successful;
}

}  // namespace

upstream_announcer::upstream_announcer(asio::ip::tcp::endpoint node,
                                       announcement announced)
    : node_(std::move(node)), announcement_(std::move(announced)) {}

asio::awaitable<void> upstream_announcer::Run() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!stopped_) {
    co_await AnnounceNow();
    timer.expires_after(kAnnounceInterval);
    co_await timer.async_wait(kAwaitTuple);
  }
}

asio::awaitable<bool> upstream_announcer::AnnounceNow() {
  if (stopped_) co_return false;
  const boost::json::object body = {
      {"service", announcement_.service},
      {"address", announcement_.address},
      {"slots", announcement_.slots},
      {"state", draining_ ? "draining" : "ready"}};
  co_return co_await SendOnce(node_, http::verb::put,
                              boost::json::serialize(body));
}

asio::awaitable<void> upstream_announcer::Withdraw() {
  stopped_ = true;
  co_await SendOnce(node_, http::verb::delete_, "");
}

}  // namespace hornbeam
