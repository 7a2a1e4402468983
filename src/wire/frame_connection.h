// One TCP connection that carries frames in both directions.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "hornbeam/clock_source.h"
#include "wire/messages.h"

namespace hornbeam {

class fiber_group;
class frame_connection;

// Receives the messages of a connection. Methods are called on the connection's
// reader fiber, one at a time. While a method waits, nothing more is read,
// which applies back-pressure to the peer.
class frame_handler {
 public:
  frame_handler() = default;
  frame_handler(const frame_handler&) = delete;
  frame_handler& operator=(const frame_handler&) = delete;
  virtual ~frame_handler() = default;

  virtual void OnMessage(frame_connection& connection, message content) = 0;
  // The last call for a connection; no further message is received on it.
  virtual void OnClosed(frame_connection& connection) = 0;
};

// Sends and receives frames on one TCP connection. Shared by its fibers and its
// users. For the I/O thread only.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
 public:
  static std::shared_ptr<frame_connection> MakeFrameConnection(
      boost::asio::ip::tcp::socket socket, const clock_source& clock);

  // Starts the reader and the writer on `fibers`. Call once. The connection and
  // `handler` live at least as long as these fibers.
  void Start(std::shared_ptr<frame_handler> handler, fiber_group& fibers);

  // Queues a frame and waits while the queue is full; waiting senders proceed
  // in FIFO order. Returns false if the connection is closed. True does not
  // mean that the peer received the frame.
  bool Send(const message& content);
  // Like Send, but returns false without waiting if the queue is full.
  bool TrySend(const message& content);

  // Closes the connection immediately; OnClosed follows.
  void Close();

  [[nodiscard]] bool IsClosed() const { return closed_; }
  // Returns the time of the latest received byte, or the time at which this
  // object was created if there is none.
  [[nodiscard]] time_point LastReceived() const { return last_received_; }
  [[nodiscard]] std::uint64_t BytesSent() const { return bytes_sent_; }
  [[nodiscard]] std::uint64_t BytesReceived() const { return bytes_received_; }

 private:
  frame_connection(boost::asio::ip::tcp::socket socket,
                   const clock_source& clock);

  void ReadLoop(frame_handler& handler);
  bool DeliverFrames(std::string& buffer, frame_handler& handler);
  void WriteLoop();
  void Enqueue(std::string frame);
  std::size_t WriteImmediately(const std::string& frame);

  boost::asio::ip::tcp::socket socket_;
  const clock_source& clock_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  // Ticket numbers that keep waiting senders in FIFO order.
  std::uint64_t next_ticket_ = 0;
  std::uint64_t current_ticket_ = 0;
  bool writing_ = false;
  bool closed_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable queue_changed_;
  time_point last_received_;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace hornbeam
