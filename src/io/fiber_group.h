// A group of fibers that can be waited for.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstddef>
#include <functional>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Starts detached fibers and counts those still running. For the I/O thread
// only.
class fiber_group {
 public:
  fiber_group() = default;
  fiber_group(const fiber_group&) = delete;
  fiber_group& operator=(const fiber_group&) = delete;
  // The group must be empty.
  ~fiber_group();

  // Runs `body` on a new fiber once the calling fiber yields or waits.
  void Start(std::function<void()> body);

  // Waits until all fibers have finished. Returns false if `deadline` passes
  // first.
  bool WaitEmpty(time_point deadline);

  [[nodiscard]] std::size_t size() const { return running_; }

 private:
  std::size_t running_ = 0;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable emptied_;
};

}  // namespace hornbeam
