// The event loop of a process's I/O thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Holds an io_context and installs the scheduler for fibers on it. Owned by the
// thread that creates it, which becomes the I/O thread. Only Post may be called
// from other threads.
class io_loop {
 public:
  io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  [[nodiscard]] boost::asio::io_context& context() { return *io_; }

  // Runs `task` on the I/O thread. May be called from any thread. The task must
  // not wait.
  void Post(std::function<void()> task);

  // Suspend the calling fiber until `wake_time`, or for `length`.
  static void SleepUntil(time_point wake_time);
  static void SleepFor(duration length);

 private:
  std::shared_ptr<boost::asio::io_context> io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
};

}  // namespace hornbeam
