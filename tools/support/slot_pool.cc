#include "support/slot_pool.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace hornbeam {

namespace asio = boost::asio;

asio::awaitable<bool> slot_pool::Acquire(std::shared_ptr<standin_call> call) {
  if (running_ < slots_) {
    ++running_;
    call->running = true;
    co_return true;
  }
  queue_.push_back(call);
  call->timer.expires_at(asio::steady_timer::time_point::max());
  // The wait ends when Release sets `running` or when the call is cancelled.
  co_await call->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  if (call->running) co_return true;
  std::erase(queue_, call);
  co_return false;
}

void slot_pool::Release() {
  while (!queue_.empty()) {
    const std::shared_ptr<standin_call> next = std::move(queue_.front());
    queue_.pop_front();
    if (next->cancelled) continue;
    next->running = true;
    next->timer.cancel();
    return;
  }
  --running_;
}

}  // namespace hornbeam
