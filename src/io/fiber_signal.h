// A value that one fiber sets and another waits for.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <optional>
#include <utility>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Holds the first value that is set. For fibers of one thread.
template <class T>
class fiber_signal {
 public:
  // Returns false, and keeps the earlier value, if one is already set.
  bool Set(T value) {
    if (value_) return false;
    value_.emplace(std::move(value));
    set_.notify_all();
    return true;
  }

  [[nodiscard]] bool IsSet() const { return value_.has_value(); }

  // Waits for the value. Returns null if `deadline` passes first. The pointer
  // is valid as long as this object.
  T* WaitUntil(time_point deadline) {
    std::unique_lock lock(mutex_);
    const bool is_set =
        set_.wait_until(lock, deadline, [this] { return value_.has_value(); });
    return is_set ? &*value_ : nullptr;
  }

 private:
  std::optional<T> value_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable set_;
};

}  // namespace hornbeam
