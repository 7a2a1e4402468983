#include "daemon/stop_signals.h"

#include <csignal>

#include "io/io_loop.h"

namespace hornbeam {

namespace {

// Length of one wait in WaitForStop, which waits without a deadline.
// duration::max() would overflow when it is added to the current time.
constexpr duration kWaitStep = std::chrono::hours(24);

void ChangeMask(int how) {
  sigset_t handled;
  ::sigemptyset(&handled);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    ::sigaddset(&handled, signal);
  ::pthread_sigmask(how, &handled, nullptr);
}

}  // namespace

void BlockStopSignals() { ChangeMask(SIG_BLOCK); }

stop_signals::stop_signals(io_loop& loop)
    : signals_(loop.context(), SIGTERM, SIGINT, SIGHUP) {
  Listen();
  ChangeMask(SIG_UNBLOCK);
}

stop_signals::~stop_signals() {
  // The process ends by itself now.
  BlockStopSignals();
  boost::system::error_code ignored;
  signals_.cancel(ignored);
}

void stop_signals::WaitForStop() {
  while (first_stop_.WaitUntil(std::chrono::time_point_cast<duration>(
                                   std::chrono::steady_clock::now()) +
                               kWaitStep) == nullptr) {
  }
}

void stop_signals::Listen() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) return;
        if (number != SIGHUP) {
          ++count_;
          first_stop_.Set(true);
        } else if (hang_up_handler_) {
          hang_up_handler_();
        }
        Listen();
      });
}

}  // namespace hornbeam
