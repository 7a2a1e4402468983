// A connection to one process that is reopened whenever it is lost.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <memory>

#include "hornbeam/clock_source.h"
#include "wire/call_link.h"
#include "wire/endpoint.h"
#include "wire/frame_connection.h"

namespace hornbeam {

// Receives the events of a link. Methods are called on the link's fibers.
class link_observer {
 public:
  link_observer() = default;
  link_observer(const link_observer&) = delete;
  link_observer& operator=(const link_observer&) = delete;
  virtual ~link_observer() = default;

  virtual void OnLinkUp() = 0;
  virtual void OnLinkMessage(message content) = 0;
  // The connection was lost or could not be opened. Messages without a reply so
  // far may or may not have arrived.
  virtual void OnLinkDown() = 0;
};

struct message_link_options {
  // Time limit to connect, and then for the peer's hello.
  duration connect_timeout = kPeerConnectTimeout;
  duration reconnect_delay = std::chrono::milliseconds(100);
  // A connection without a received byte for this time is considered lost, and
  // is pinged after a third of this time.
  duration silence_timeout = std::chrono::milliseconds(3000);
};

// Keeps a connection to one peer open. The link is up once the peer has sent
// its hello: the kernel of a suspended VM accepts connections, too. Owned by
// its user, which outlives it. For the I/O thread only.
class message_link {
 public:
  message_link(io_loop& loop, const clock_source& clock,
               const process_identity& self, const endpoint& peer,
               connection_purpose purpose, const message_link_options& options,
               link_observer& observer);
  message_link(const message_link&) = delete;
  message_link& operator=(const message_link&) = delete;
  ~message_link();

  // Keeps the connection open on fibers of `fibers` until Stop.
  void Start(fiber_group& fibers);
  void Stop();

  // Closes the connection and does not reopen it until Resume.
  void Suspend();
  void Resume();
  [[nodiscard]] bool IsSuspended() const { return suspended_; }

  // Returns false, without sending, if the connection is down or its queue is
  // full.
  bool TrySend(const message& content);

  // Waits until the link is up. Returns false if `deadline` passes, an
  // attempt to connect fails or Stop is called first.
  bool WaitUp(time_point deadline);

  [[nodiscard]] bool IsUp() const;
  // Returns whether the link has stopped and no fiber refers to it any more, so
  // that it may be destroyed.
  [[nodiscard]] bool HasEnded() const;
  [[nodiscard]] const endpoint& Peer() const { return peer_; }
  // Returns the bytes sent and received over all connections so far.
  [[nodiscard]] std::uint64_t TotalBytes() const;

 private:
  class reader;

  void Run();
  bool ConnectOnce();
  bool WaitForHello();
  void MonitorConnection();
  void HandleHello();
  void HandleClosed(const frame_connection& connection);

  io_loop& loop_;
  const clock_source& clock_;
  const process_identity self_;
  const endpoint peer_;
  const connection_purpose purpose_;
  const message_link_options options_;
  link_observer& observer_;
  fiber_group* fibers_ = nullptr;
  std::shared_ptr<frame_connection> connection_;
  std::weak_ptr<reader> reader_;  // Of the last connection.
  bool received_hello_ = false;   // On the current connection.
  std::uint64_t connection_number_ = 0;
  std::uint64_t failed_attempts_ = 0;
  std::uint64_t closed_connections_bytes_ = 0;
  bool stopped_ = false;
  bool suspended_ = false;
  bool running_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
