// A bounded queue between two threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace hornbeam {

// Passes items from one thread to another. Never holds more than its capacity:
// a full queue rejects new items, which applies back-pressure to the sender.
// Thread-safe.
template <class T>
class bounded_queue {
 public:
  explicit bounded_queue(std::size_t capacity) : capacity_(capacity) {}

  // Returns false, and leaves `item` unchanged, if the queue is full or closed.
  bool TryPush(T&& item) {
    const std::lock_guard lock(mutex_);
    if (closed_ || items_.size() >= capacity_) return false;
    items_.push_back(std::move(item));
    not_empty_.notify_one();
    return true;
  }

  // Waits for an item; returns std::nullopt once the queue is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return TakeFront();
  }

  // Returns std::nullopt without waiting if the queue is empty.
  std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return TakeFront();
  }

  // Rejects new items; queued items can still be popped.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    not_empty_.notify_all();
  }

 private:
  std::optional<T> TakeFront() {
    if (items_.empty()) return std::nullopt;
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace hornbeam
