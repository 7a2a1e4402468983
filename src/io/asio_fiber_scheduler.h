// Runs the Boost.Fiber scheduler and the Asio event loop on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <cstddef>
#include <memory>

namespace hornbeam {

// Runs ready fibers in FIFO order. When none is ready, blocks in the io_context
// until an event or the next fiber timer. Asio handlers run on the dispatcher
// context: they may wake or start fibers but must not wait. Owned by the
// thread's Boost.Fiber scheduler.
class asio_fiber_scheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit asio_fiber_scheduler(std::shared_ptr<boost::asio::io_context> io);

  void awakened(boost::fibers::context* ready) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  [[nodiscard]] bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& wake_time) noexcept override;
  void notify() noexcept override;

 private:
  std::shared_ptr<boost::asio::io_context> io_;
  boost::asio::steady_timer wake_timer_;
  boost::fibers::scheduler::ready_queue_type ready_;
  std::size_t ready_workers_ = 0;
};

}  // namespace hornbeam
