#include "io/io_loop.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "io/asio_fiber_scheduler.h"

namespace hornbeam {

io_loop::io_loop()
    : io_(std::make_shared<boost::asio::io_context>(1)),
      work_(boost::asio::make_work_guard(*io_)) {
  boost::fibers::use_scheduling_algorithm<asio_fiber_scheduler>(io_);
}

void io_loop::Post(std::function<void()> task) {
  boost::asio::post(*io_, std::move(task));
}

void io_loop::SleepUntil(time_point wake_time) {
  boost::this_fiber::sleep_until(
      std::chrono::steady_clock::time_point(wake_time));
}

void io_loop::SleepFor(duration length) {
  boost::this_fiber::sleep_for(length);
}

}  // namespace hornbeam
