// Signals that stop a daemon.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <utility>

#include "hornbeam/clock_source.h"
#include "io/fiber_signal.h"

namespace hornbeam {

class io_loop;

// Blocks the signals that stop_signals handles. The first thing that a daemon
// does: until there are handlers they would end the process, SIGHUP as well.
// The process gets those that arrive meanwhile with the handlers.
void BlockStopSignals();

// Handles SIGTERM and SIGINT, which request a graceful stop; a second one
// requests an immediate stop. SIGHUP calls the handler of SetHangUpHandler and
// is ignored without one. Owned by the daemon; for the I/O thread only.
class stop_signals {
 public:
  explicit stop_signals(io_loop& loop);
  ~stop_signals();
  stop_signals(const stop_signals&) = delete;
  stop_signals& operator=(const stop_signals&) = delete;

  // Blocks the calling fiber until the first stop signal arrives.
  void WaitForStop();

  // Sets the handler of SIGHUP. It runs on the I/O thread and must not block.
  void SetHangUpHandler(std::function<void()> handler) {
    hang_up_handler_ = std::move(handler);
  }
  // Returns whether a second stop signal has requested an immediate stop.
  [[nodiscard]] bool IsStopForced() const { return count_ > 1; }

 private:
  std::function<void()> hang_up_handler_;
  void Listen();

  boost::asio::signal_set signals_;
  fiber_signal<bool> first_stop_;
  int count_ = 0;
};

}  // namespace hornbeam
