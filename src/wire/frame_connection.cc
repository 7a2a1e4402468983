#include "wire/frame_connection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <utility>

#include "io/fiber_group.h"
#include "io/fiber_token.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

constexpr std::size_t kMaxQueueBytes = 128UL * 1024;
constexpr int kMaxUnsentBytes = 64 * 1024;
using unsent_limit =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
constexpr std::size_t kReadBufferBytes = 64UL * 1024;

}  // namespace

std::shared_ptr<frame_connection> frame_connection::MakeFrameConnection(
    boost::asio::ip::tcp::socket socket, const clock_source& clock) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  // Unsent bytes are kept in the queue rather than in the socket, so that the
  // chunks of a long answer and short messages interleave.
  socket.set_option(unsent_limit(kMaxUnsentBytes), ignored);
  return std::shared_ptr<frame_connection>(
      new frame_connection(std::move(socket), clock));
}

frame_connection::frame_connection(boost::asio::ip::tcp::socket socket,
                                   const clock_source& clock)
    : socket_(std::move(socket)), clock_(clock), last_received_(clock.Now()) {}

void frame_connection::Start(std::shared_ptr<frame_handler> handler,
                             fiber_group& fibers) {
  fibers.Start([self = shared_from_this(), handler = std::move(handler)] {
    self->ReadLoop(*handler);
    self->Close();
    handler->OnClosed(*self);
  });
  fibers.Start([self = shared_from_this()] { self->WriteLoop(); });
}

bool frame_connection::Send(const message& content) {
  const std::uint64_t ticket = next_ticket_++;
  const auto is_free = [this, ticket] {
    return closed_ ||
           (ticket == current_ticket_ && queued_bytes_ < kMaxQueueBytes);
  };
  if (!is_free()) {
    std::unique_lock lock(mutex_);
    queue_changed_.wait(lock, is_free);
  }
  ++current_ticket_;
  if (closed_) return false;
  Enqueue(EncodeFrame(content));
  if (current_ticket_ != next_ticket_) queue_changed_.notify_all();
  return true;
}

bool frame_connection::TrySend(const message& content) {
  if (closed_ || queued_bytes_ >= kMaxQueueBytes) return false;
  Enqueue(EncodeFrame(content));
  return true;
}

void frame_connection::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  queue_changed_.notify_all();
}

void frame_connection::ReadLoop(frame_handler& handler) {
  std::string buffer;
  std::string chunk(kReadBufferBytes, '\0');
  while (!closed_) {
    boost::system::error_code error;
    const std::size_t size =
        socket_.async_read_some(boost::asio::buffer(chunk), FiberWait(error));
    if (error) return;
    last_received_ = clock_.Now();
    bytes_received_ += size;
    buffer.append(chunk, 0, size);
    if (!DeliverFrames(buffer, handler)) return;
  }
}

bool frame_connection::DeliverFrames(std::string& buffer,
                                     frame_handler& handler) {
  std::size_t start = 0;
  while (!closed_) {
    std::size_t used = 0;
    auto decoded = DecodeFrame(std::string_view(buffer).substr(start), used);
    if (!decoded) return false;
    if (!decoded.value()) break;
    start += used;
    handler.OnMessage(*this, std::move(*decoded.value()));
  }
  buffer.erase(0, start);
  return true;
}

void frame_connection::WriteLoop() {
  while (true) {
    {
      std::unique_lock lock(mutex_);
      queue_changed_.wait(lock, [this] { return closed_ || !queue_.empty(); });
    }
    if (closed_) return;
    const std::string frame = std::move(queue_.front());
    queue_.pop_front();
    writing_ = true;
    boost::system::error_code error;
    boost::asio::async_write(socket_, boost::asio::buffer(frame),
                             FiberWait(error));
    writing_ = false;
    bytes_sent_ += frame.size();
    queued_bytes_ -= std::min(queued_bytes_, frame.size());
    if (error) Close();
    queue_changed_.notify_all();
  }
}

void frame_connection::Enqueue(std::string frame) {
  const bool idle = queue_.empty() && !writing_;
  const std::size_t written = idle ? WriteImmediately(frame) : 0;
  if (written == frame.size()) return;
  frame.erase(0, written);
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  queue_changed_.notify_all();
}

// Saves a fiber switch in the common case of an idle connection. Errors are
// ignored: the writer gets the same error and handles it.
std::size_t frame_connection::WriteImmediately(const std::string& frame) {
  boost::system::error_code error;
  const std::size_t written =
      socket_.write_some(boost::asio::buffer(frame), error);
  bytes_sent_ += written;
  return error ? 0 : written;
}

}  // namespace hornbeam
