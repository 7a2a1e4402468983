// Signals that arrive before the daemon handles them and after it has stopped.
#include "daemon/stop_signals.h"

#include <pthread.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

#include "base/system_clock_source.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

constexpr duration kWaitLimit = std::chrono::seconds(10);

void SendToThisThread(int signal) { ::pthread_kill(::pthread_self(), signal); }

}  // namespace

BOOST_AUTO_TEST_SUITE(stop_signals_test)

// Guards against a SIGHUP that ends a process which has just started or is
// about to end; found by the soak.
BOOST_AUTO_TEST_CASE(signals_before_and_after_their_handlers_end_no_process) {
  std::thread([] {
    BlockStopSignals();
    SendToThisThread(SIGHUP);
    int hang_ups = 0;
    {
      io_loop loop;
      const system_clock_source clock;
      stop_signals signals(loop);
      signals.SetHangUpHandler([&hang_ups] { ++hang_ups; });
      const time_point limit = clock.Now() + kWaitLimit;
      while (hang_ups == 0 && clock.Now() < limit)
        io_loop::SleepFor(std::chrono::milliseconds(1));
      SendToThisThread(SIGTERM);
      signals.WaitForStop();
    }
    // Nothing is lost: the signal from before the handler is handled.
    BOOST_TEST(hang_ups == 1);
    SendToThisThread(SIGHUP);
    SendToThisThread(SIGTERM);
  }).join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
