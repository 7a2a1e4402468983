#include "wire/message_link.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"

namespace hornbeam {

namespace {

constexpr int kChecksPerTimeout = 3;

}  // namespace

// Forwards messages of the current connection to the observer.
class message_link::reader final : public frame_handler {
 public:
  explicit reader(message_link& link) : link_(link) {}

  void OnMessage(frame_connection& connection, message content) override {
    if (link_.connection_.get() != &connection) return;
    if (const auto* received_ping = std::get_if<ping>(&content)) {
      connection.TrySend(pong{received_ping->nonce});
      return;
    }
    if (std::holds_alternative<pong>(content)) return;
    if (std::holds_alternative<hello>(content)) {
      link_.HandleHello();
    } else {
      link_.observer_.OnLinkMessage(std::move(content));
    }
  }
  void OnClosed(frame_connection& connection) override {
    link_.HandleClosed(connection);
  }

 private:
  message_link& link_;
};

message_link::message_link(io_loop& loop, const clock_source& clock,
                           const process_identity& self, const endpoint& peer,
                           connection_purpose purpose,
                           const message_link_options& options,
                           link_observer& observer)
    : loop_(loop),
      clock_(clock),
      self_(self),
      peer_(peer),
      purpose_(purpose),
      options_(options),
      observer_(observer) {}

message_link::~message_link() = default;

void message_link::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  running_ = true;
  fibers.Start([this] {
    Run();
    running_ = false;
  });
}

void message_link::Stop() {
  stopped_ = true;
  if (connection_) connection_->Close();
  changed_.notify_all();
}

void message_link::Suspend() {
  suspended_ = true;
  if (connection_) connection_->Close();
}

void message_link::Resume() {
  suspended_ = false;
  changed_.notify_all();
}

bool message_link::TrySend(const message& content) {
  return IsUp() && connection_->TrySend(content);
}

bool message_link::WaitUp(time_point deadline) {
  const std::uint64_t attempts_before = failed_attempts_;
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline, [this, attempts_before] {
    return stopped_ || IsUp() || failed_attempts_ > attempts_before;
  });
  return IsUp();
}

bool message_link::IsUp() const {
  return connection_ && received_hello_ && !connection_->IsClosed();
}

std::uint64_t message_link::TotalBytes() const {
  const std::uint64_t current_bytes =
      connection_ ? connection_->BytesSent() + connection_->BytesReceived() : 0;
  return closed_connections_bytes_ + current_bytes;
}

bool message_link::HasEnded() const {
  return stopped_ && !running_ && reader_.expired();
}

void message_link::Run() {
  while (!stopped_) {
    if (suspended_) {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopped_ || !suspended_; });
      continue;
    }
    if (ConnectOnce()) {
      MonitorConnection();
    } else {
      ++failed_attempts_;
      changed_.notify_all();
      observer_.OnLinkDown();
    }
    if (stopped_) return;
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, clock_.Now() + options_.reconnect_delay,
                        [this] { return stopped_; });
  }
}

bool message_link::ConnectOnce() {
  auto socket = ConnectTcp(loop_, peer_.host, peer_.port,
                           clock_.Now() + options_.connect_timeout);
  if (!socket || stopped_ || suspended_) return false;
  connection_ =
      frame_connection::MakeFrameConnection(std::move(socket).value(), clock_);
  received_hello_ = false;
  ++connection_number_;
  connection_->TrySend(hello{.protocol_version = kProtocolVersion,
                             .sender = self_.name,
                             .incarnation = self_.incarnation,
                             .purpose = purpose_,
                             .connection_number = connection_number_});
  const auto handler = std::make_shared<reader>(*this);
  reader_ = handler;
  connection_->Start(handler, *fibers_);
  return WaitForHello();
}

// Closes the connection if the peer sends no hello in time.
bool message_link::WaitForHello() {
  {
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, clock_.Now() + options_.connect_timeout, [this] {
      return stopped_ || !connection_ || received_hello_;
    });
  }
  if (connection_ && !received_hello_) connection_->Close();
  return received_hello_;
}

void message_link::HandleHello() {
  if (std::exchange(received_hello_, true)) return;
  changed_.notify_all();
  observer_.OnLinkUp();
}

// Monitors the connection until it is closed. A check is due when the timeout
// ends, so that silence is noticed no later.
void message_link::MonitorConnection() {
  const duration interval = options_.silence_timeout / kChecksPerTimeout;
  while (connection_ && !stopped_) {
    const time_point silent_at =
        connection_->LastReceived() + options_.silence_timeout;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_until(lock, std::min(clock_.Now() + interval, silent_at),
                          [this] { return stopped_ || !connection_; });
    }
    if (!connection_ || stopped_) return;
    const duration silence = clock_.Now() - connection_->LastReceived();
    if (silence >= options_.silence_timeout) {
      connection_->Close();
    } else if (silence >= interval) {
      connection_->TrySend(ping{});
    }
  }
}

void message_link::HandleClosed(const frame_connection& connection) {
  if (connection_.get() != &connection) return;
  closed_connections_bytes_ +=
      connection.BytesSent() + connection.BytesReceived();
  connection_ = nullptr;
  changed_.notify_all();
  // Run reports a connection that never was up.
  if (received_hello_) observer_.OnLinkDown();
}

}  // namespace hornbeam
