#include "http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>

#include "http/body_memory.h"
#include "http/http_session.h"
#include "io/fiber_group.h"
#include "io/fiber_token.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;

constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Number of checks for idle connections per idle timeout.
constexpr int kIdleChecksPerTimeout = 10;
// Time from the start of a drain until idle connections are closed; see Drain.
constexpr duration kDrainGracePeriod = std::chrono::milliseconds(500);

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
