// The signals that ask a daemon to stop.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <utility>

#include "hornbeam/clock_source.h"
#include "io/fiber_signal.h"

namespace hornbeam {

class io_loop;

// SIGTERM and SIGINT ask for a graceful stop; a second one asks to hurry.
// SIGHUP is ignored. For the I/O thread only.
class stop_signals {
 public:
  explicit stop_signals(io_loop& loop);
  ~stop_signals();
  stop_signals(const stop_signals&) = delete;
  stop_signals& operator=(const stop_signals&) = delete;

  // Makes the calling fiber wait for the first signal.
  void WaitFirst();

  // Sets what a hang-up signal calls, on the I/O thread; it must not wait.
  void OnHangUp(std::function<void()> callback) {
    on_hang_up_ = std::move(callback);
  }
  [[nodiscard]] bool IsHurried() const { return count_ > 1; }

 private:
  std::function<void()> on_hang_up_;
  void Listen();

  boost::asio::signal_set signals_;
  fiber_signal<bool> first_;
  int count_ = 0;
};

}  // namespace hornbeam
