#include "support/silent_relay.h"

#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <thread>
#include <utility>

#include "support/endpoint_text.h"

namespace hornbeam {

namespace asio = boost::asio;

namespace {

using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 65536;
constexpr std::size_t kMaxChunks = 256;  // In flight in one direction.

// One relayed connection.
struct relayed_pair {
  explicit relayed_pair(tcp::socket accepted)
      : client(std::move(accepted)), server(client.get_executor()) {}

  tcp::socket client;
  tcp::socket server;
  std::uint64_t epoch = 0;  // Silent when it differs from the relay's epoch.
  bool has_sent = false;    // The client has sent bytes.
  std::chrono::microseconds delay{0};
};

// Chunks in flight in one direction, each with the time at which it is written.
struct delay_line {
  explicit delay_line(const asio::any_io_executor& executor)
      : changed(executor) {}

  struct chunk {
    clock::time_point due;
    std::string bytes;
  };

  asio::steady_timer changed;
  std::deque<chunk> chunks;
  bool closed = false;
};

}  // namespace

class silent_relay::engine {
 public:
  explicit engine(tcp::endpoint target)
      : acceptor_(io_), target_(std::move(target)) {}

  bool Listen(const tcp::endpoint& endpoint) {
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(endpoint, error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    return !error;
  }

  std::string Address() const {
    return FormatEndpoint(acceptor_.local_endpoint());
  }

  void Start() {
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  void SetDelayRule(delay_rule rule) {
    asio::post(io_, [this, rule = std::move(rule)] { rule_ = rule; });
  }

  void SilenceOpenConnections() { ++epoch_; }

  void SetPartitioned(bool is_partitioned) {
    is_partitioned_ = is_partitioned;
    ++epoch_;
  }

  std::uint64_t BytesForwarded() const { return bytes_; }

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
      if (error) co_return;
      asio::co_spawn(io_,
                     Relay(std::make_shared<relayed_pair>(std::move(socket))),
                     asio::detached);
    }
  }

  bool IsSilent(const relayed_pair& pair) const {
    return is_partitioned_ || pair.epoch != epoch_;
  }

  asio::awaitable<void> Relay(std::shared_ptr<relayed_pair> pair) {
    pair->epoch = epoch_;
    if (is_partitioned_) {
      // The socket stays open so that the client detects nothing.
      silent_pairs_.push_back(std::move(pair));
      co_return;
    }
    auto [error] = co_await pair->server.async_connect(target_, kAwaitTuple);
    if (error) co_return;
    boost::system::error_code ignored;
    pair->client.set_option(tcp::no_delay(true), ignored);
    pair->server.set_option(tcp::no_delay(true), ignored);
    StartForwarding(pair, pair->client, pair->server);
    StartForwarding(pair, pair->server, pair->client);
  }

  void StartForwarding(const std::shared_ptr<relayed_pair>& pair,
                       tcp::socket& from, tcp::socket& to) {
    auto line = std::make_shared<delay_line>(io_.get_executor());
    asio::co_spawn(io_, ReadInto(pair, from, line), asio::detached);
    asio::co_spawn(io_, WriteFrom(pair, to, line), asio::detached);
  }

  asio::awaitable<void> ReadInto(std::shared_ptr<relayed_pair> pair,
                                 tcp::socket& from,
                                 std::shared_ptr<delay_line> line) {
    std::string buffer(kChunkBytes, '\0');
    for (;;) {
      while (line->chunks.size() >= kMaxChunks) {
        line->changed.expires_after(std::chrono::milliseconds(1));
        co_await line->changed.async_wait(kAwaitTuple);
      }
      auto [error, size] =
          co_await from.async_read_some(asio::buffer(buffer), kAwaitTuple);
      if (IsSilent(*pair)) {
        // From now on neither bytes nor the close of the connection are
        // forwarded.
        silent_pairs_.push_back(std::move(pair));
        co_return;
      }
      if (error) break;
      bytes_ += size;
      if (&from == &pair->client && !pair->has_sent) {
        pair->has_sent = true;
        const std::string_view first = std::string_view(buffer).substr(0, size);
        if (rule_) pair->delay = rule_(first);
      }
      line->chunks.push_back(delay_line::chunk{
          .due = clock::now() + pair->delay, .bytes = buffer.substr(0, size)});
      line->changed.cancel();
    }
    line->closed = true;
    line->changed.cancel();
  }

  asio::awaitable<void> WriteFrom(std::shared_ptr<relayed_pair> pair,
                                  tcp::socket& to,
                                  std::shared_ptr<delay_line> line) {
    asio::steady_timer due(io_);
    for (;;) {
      if (line->chunks.empty()) {
        if (line->closed) break;
        line->changed.expires_at(clock::time_point::max());
        co_await line->changed.async_wait(kAwaitTuple);
        continue;
      }
      delay_line::chunk next = std::move(line->chunks.front());
      line->chunks.pop_front();
      if (next.due > clock::now()) {
        due.expires_at(next.due);
        co_await due.async_wait(kAwaitTuple);
      }
      if (IsSilent(*pair)) co_return;
      auto [error, size] =
          co_await asio::async_write(to, asio::buffer(next.bytes), kAwaitTuple);
      if (error) break;
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (!line->closed) pair->client.close(ignored);
  }

  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  tcp::endpoint target_;
  std::thread thread_;
  std::deque<std::shared_ptr<relayed_pair>> silent_pairs_;
  delay_rule rule_;
  std::atomic<std::uint64_t> epoch_{0};
  std::atomic<bool> is_partitioned_{false};
  std::atomic<std::uint64_t> bytes_{0};
};

std::unique_ptr<silent_relay> silent_relay::MakeSilentRelay(
    const std::string& listen, const std::string& target) {
  const auto listen_endpoint = ParseEndpoint(listen);
  const auto target_endpoint = ParseEndpoint(target);
  if (!listen_endpoint || !target_endpoint) return nullptr;
  auto relay_engine = std::make_unique<engine>(*target_endpoint);
  if (!relay_engine->Listen(*listen_endpoint)) return nullptr;
  std::string address = relay_engine->Address();
  relay_engine->Start();
  return std::unique_ptr<silent_relay>(
      new silent_relay(std::move(relay_engine), std::move(address)));
}

silent_relay::silent_relay(std::unique_ptr<engine> relay_engine,
                           std::string address)
    : engine_(std::move(relay_engine)), address_(std::move(address)) {}

silent_relay::~silent_relay() { engine_->Stop(); }

void silent_relay::SetDelayRule(delay_rule rule) {
  engine_->SetDelayRule(std::move(rule));
}

void silent_relay::SilenceOpenConnections() {
  engine_->SilenceOpenConnections();
}

void silent_relay::SetPartitioned(bool is_partitioned) {
  engine_->SetPartitioned(is_partitioned);
}

std::uint64_t silent_relay::BytesForwarded() const {
  return engine_->BytesForwarded();
}

}  // namespace hornbeam
