// Tests of the circuit breaker, and of the selection among upstreams of which
// one fails its calls.
#include "policy/circuit_breaker.h"

#include <boost/test/unit_test.hpp>

#include "policy/zone_aware_selection.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

// Replays 2000 calls to a service of four upstreams of which the first fails
// every call immediately. Each call goes to the shortest queue, and to another
// upstream when that one rejects it. Returns the number of failed calls.
int ReplayFastFailing(bool has_breaker) {
  circuit_breaker breaker({});
  int failed = 0;
  std::size_t next_healthy = 0;
  for (int call = 0; call < 2000; ++call) {
    const time_point now = kStart + milliseconds(call * 5);
    // The failing upstream is always idle, so it is always chosen first.
    const bool is_dispatched = !has_breaker || breaker.Admits(true, now);
    if (is_dispatched) {
      breaker.Record(true, breaker.IsOpen());
      ++failed;
    } else {
      next_healthy = next_healthy % 3 + 1;
    }
  }
  return failed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(circuit_breaker_test)

BOOST_AUTO_TEST_CASE(replay_upstream_that_fails_immediately) {
  BOOST_TEST(ReplayFastFailing(false) == 2000);
  // Over ten seconds: the failures that open the breaker, and one trial every
  // 200 ms.
  BOOST_TEST(ReplayFastFailing(true) <= 65);
}

BOOST_AUTO_TEST_CASE(breaker_stays_closed_below_failure_threshold) {
  circuit_breaker breaker({});
  for (int call = 0; call < 200; ++call) {
    breaker.Record(call % 2 == 0, false);
    BOOST_TEST(breaker.Admits(false, kStart));
  }
}

BOOST_AUTO_TEST_CASE(breaker_closes_after_successful_trials) {
  circuit_breaker breaker({});
  for (int call = 0; call < circuit_breaker::kWindowCalls; ++call) {
    breaker.Record(true, false);
  }
  time_point now = kStart;
  BOOST_TEST(breaker.Admits(true, now));
  breaker.Record(false, true);
  BOOST_TEST(!breaker.Admits(true, now));
  now += milliseconds(200);
  // Calls that are not idempotent are used as trials less often.
  BOOST_TEST(!breaker.Admits(false, now));
  BOOST_TEST(breaker.Admits(true, now));
  // A failed trial restarts the count of successes.
  breaker.Record(true, true);
  for (int trial = 0; trial < 3; ++trial) {
    BOOST_TEST(breaker.IsOpen());
    now += milliseconds(200);
    BOOST_TEST(breaker.Admits(true, now));
    breaker.Record(false, true);
  }
  BOOST_TEST(!breaker.IsOpen());
  BOOST_TEST(breaker.Admits(true, now));
}

// Guards against a breaker that closes too early: among many concurrent calls,
// some that started before the upstream began to fail still succeed.
BOOST_AUTO_TEST_CASE(successes_started_before_opening_do_not_close_breaker) {
  circuit_breaker breaker({});
  for (int call = 0; call < circuit_breaker::kWindowCalls; ++call) {
    breaker.Record(true, false);
  }
  for (int call = 0; call < 10; ++call) breaker.Record(false, false);
  BOOST_TEST(breaker.IsOpen());
}

BOOST_AUTO_TEST_CASE(idle_failing_upstream_is_not_selected) {
  zone_candidate failing{.same_zone = true,
                         .report = {.slot_limit = 14,
                                    .service_time_short_us = 1'000,
                                    .failure_per_mille = 900},
                         .reported = true};
  zone_candidate healthy{.same_zone = false,
                         .report = {.slot_limit = 14,
                                    .running_short = 13,
                                    .service_time_short_us = 250'000},
                         .reported = true,
                         .cross_zone_round_trip = milliseconds(4)};
  const std::vector<zone_candidate> both = {failing, healthy};
  BOOST_TEST(SelectZoneAware(both, milliseconds(600), 5000, 0, {}).value() ==
             1U);
  const std::vector<zone_candidate> alone = {failing};
  BOOST_TEST(SelectZoneAware(alone, milliseconds(600), 5000, 0, {}).value() ==
             0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
