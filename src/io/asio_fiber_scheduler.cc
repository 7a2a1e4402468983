#include "io/asio_fiber_scheduler.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace hornbeam {

namespace {

bool IsDispatcher(const boost::fibers::context& context) {
  return context.is_context(boost::fibers::type::dispatcher_context);
}

}  // namespace

asio_fiber_scheduler::asio_fiber_scheduler(
    std::shared_ptr<boost::asio::io_context> io)
    : io_(std::move(io)), wake_timer_(*io_) {}

void asio_fiber_scheduler::awakened(boost::fibers::context* ready) noexcept {
  ready->ready_link(ready_);
  if (!IsDispatcher(*ready)) ++ready_workers_;
}

boost::fibers::context* asio_fiber_scheduler::pick_next() noexcept {
  // Only the dispatcher calls this without holding a lock that a handler might
  // need. The dispatcher is in the queue as well, so events are polled once per
  // round even while fibers remain ready.
  if (IsDispatcher(*boost::fibers::context::active())) io_->poll();
  if (ready_.empty()) return nullptr;
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  if (!IsDispatcher(*next)) --ready_workers_;
  return next;
}

bool asio_fiber_scheduler::has_ready_fibers() const noexcept {
  return ready_workers_ > 0;
}

void asio_fiber_scheduler::suspend_until(
    const std::chrono::steady_clock::time_point& wake_time) noexcept {
  const bool has_timer =
      wake_time != std::chrono::steady_clock::time_point::max();
  if (has_timer && wake_timer_.expiry() != wake_time) {
    wake_timer_.expires_at(wake_time);
    wake_timer_.async_wait([](const boost::system::error_code&) {});
  }
  io_->run_one();
}

void asio_fiber_scheduler::notify() noexcept {
  boost::asio::post(*io_, [] {});
}

}  // namespace hornbeam
