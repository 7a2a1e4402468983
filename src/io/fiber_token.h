// An Asio completion token that suspends the calling fiber.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace hornbeam {

// Completion token for Asio operations. Suspends the calling fiber until the
// operation completes and stores the error of the operation in `error`. An
// operation that reports a size returns this size. The thread must run
// asio_fiber_scheduler.
struct fiber_token {
  boost::system::error_code* error;
};

// Returns a token that stores the error in `error`.
inline fiber_token FiberWait(boost::system::error_code& error) {
  return fiber_token{&error};
}

namespace detail {

// Lives on the waiting fiber's stack until the operation completes.
struct fiber_wait_state {
  boost::system::error_code* error = nullptr;
  std::size_t transferred = 0;
  boost::fibers::context* waiter = nullptr;
  bool complete = false;

  void Complete(boost::system::error_code code, std::size_t size) {
    *error = code;
    transferred = size;
    complete = true;
    if (waiter != nullptr) boost::fibers::context::active()->schedule(waiter);
  }

  void Wait() {
    if (complete) return;
    waiter = boost::fibers::context::active();
    waiter->suspend();
  }
};

struct fiber_wait_handler {
  fiber_wait_state* state;

  void operator()(boost::system::error_code code, std::size_t size = 0) const {
    state->Complete(code, size);
  }
};

}  // namespace detail
}  // namespace hornbeam

namespace boost::asio {

template <>
class async_result<hornbeam::fiber_token, void(boost::system::error_code)> {
 public:
  using return_type = void;

  template <class Initiation, class... Args>
  static void initiate(Initiation&& initiation, hornbeam::fiber_token token,
                       Args&&... args) {
    hornbeam::detail::fiber_wait_state state{.error = token.error};
    std::forward<Initiation>(initiation)(
        hornbeam::detail::fiber_wait_handler{&state},
        std::forward<Args>(args)...);
    state.Wait();
  }
};

template <>
class async_result<hornbeam::fiber_token,
                   void(boost::system::error_code, std::size_t)> {
 public:
  using return_type = std::size_t;

  template <class Initiation, class... Args>
  static std::size_t initiate(Initiation&& initiation,
                              hornbeam::fiber_token token, Args&&... args) {
    hornbeam::detail::fiber_wait_state state{.error = token.error};
    std::forward<Initiation>(initiation)(
        hornbeam::detail::fiber_wait_handler{&state},
        std::forward<Args>(args)...);
    state.Wait();
    return state.transferred;
  }
};

}  // namespace boost::asio
