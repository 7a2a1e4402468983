// Execution slots of a stand-in upstream, with a queue of waiting calls.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <memory>

namespace hornbeam {

// One call that is queued or running at the stand-in.
struct standin_call {
  explicit standin_call(const boost::asio::any_io_executor& executor)
      : timer(executor) {}

  boost::asio::steady_timer timer;  // Expires at the end of the service time.
  bool running = false;             // Holds a slot.
  bool cancelled = false;
};

// Grants slots in order of arrival. Owned by the stand-in server;
// single-threaded.
class slot_pool {
 public:
  explicit slot_pool(std::size_t slots) : slots_(slots) {}

  // Waits for a slot. Returns false when the call was cancelled while it waited
  // and holds no slot.
  boost::asio::awaitable<bool> Acquire(std::shared_ptr<standin_call> call);
  // Frees the slot of a running call, or passes it to the next waiting call.
  void Release();

  [[nodiscard]] std::size_t Running() const { return running_; }
  [[nodiscard]] std::size_t Queued() const { return queue_.size(); }
  [[nodiscard]] std::size_t Slots() const { return slots_; }

 private:
  std::size_t slots_;
  std::size_t running_ = 0;
  std::deque<std::shared_ptr<standin_call>> queue_;
};

}  // namespace hornbeam
