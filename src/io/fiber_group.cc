#include "io/fiber_group.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cassert>
#include <memory>
#include <mutex>
#include <utility>

namespace hornbeam {

namespace {

constexpr std::size_t kFiberStackBytes = 128UL * 1024;

// Stacks are reused because a call needs several short-lived fibers.
boost::fibers::pooled_fixedsize_stack& StackPool() {
  thread_local boost::fibers::pooled_fixedsize_stack pool(kFiberStackBytes);
  return pool;
}

}  // namespace

fiber_group::~fiber_group() { assert(running_ == 0); }

void fiber_group::Start(std::function<void()> body) {
  ++running_;
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       StackPool(),
                       [this, body = std::move(body)]() mutable {
                         body();
                         // Destroys the body's captures before the group may
                         // be destroyed.
                         body = nullptr;
                         --running_;
                         if (running_ == 0) emptied_.notify_all();
                       })
      .detach();
}

bool fiber_group::WaitEmpty(time_point deadline) {
  std::unique_lock lock(mutex_);
  return emptied_.wait_until(lock, deadline, [this] { return running_ == 0; });
}

}  // namespace hornbeam
