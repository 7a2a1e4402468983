// Tests of the circuit breaker, and of the selection among upstreams of which
// one fails its calls.
#include "policy/failure_gate.h"

#include <boost/test/unit_test.hpp>

#include "policy/near_first.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

// Replays 2000 calls to a service of four upstreams of which the first fails
// every call immediately. Each call goes to the shortest queue, and to another
// upstream when that one rejects it. Returns the number of failed calls.
int ReplayFastFailing(bool gated) {
  failure_gate gate({});
  int failed = 0;
  std::size_t next_sound = 0;
  for (int call = 0; call < 2000; ++call) {
    const time_point now = kStart + milliseconds(call * 5);
    // The failing upstream is always idle, so it is always chosen first.
    const bool is_given = !gated || gate.Admits(true, now);
    if (is_given) {
      gate.Record(true, gate.IsShut());
      ++failed;
    } else {
      next_sound = next_sound % 3 + 1;
    }
  }
  return failed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(failure_gate_test)

BOOST_AUTO_TEST_CASE(replay_an_upstream_that_fails_at_once) {
  BOOST_TEST(ReplayFastFailing(false) == 2000);
  // Over ten seconds: the failures that open the breaker, and one trial every
  // 200 ms.
  BOOST_TEST(ReplayFastFailing(true) <= 65);
}

BOOST_AUTO_TEST_CASE(a_few_failures_among_successes_change_nothing) {
  failure_gate gate({});
  for (int call = 0; call < 200; ++call) {
    gate.Record(call % 2 == 0, false);
    BOOST_TEST(gate.Admits(false, kStart));
  }
}

BOOST_AUTO_TEST_CASE(it_opens_after_trials_that_end_well) {
  failure_gate gate({});
  for (int call = 0; call < failure_gate::kRemembered; ++call) {
    gate.Record(true, false);
  }
  time_point now = kStart;
  BOOST_TEST(gate.Admits(true, now));
  gate.Record(false, true);
  BOOST_TEST(!gate.Admits(true, now));
  now += milliseconds(200);
  // Calls that are not idempotent are used as trials less often.
  BOOST_TEST(!gate.Admits(false, now));
  BOOST_TEST(gate.Admits(true, now));
  gate.Record(true, true);  // A failed trial restarts the count of successes.
  for (int trial = 0; trial < 3; ++trial) {
    BOOST_TEST(gate.IsShut());
    now += milliseconds(200);
    BOOST_TEST(gate.Admits(true, now));
    gate.Record(false, true);
  }
  BOOST_TEST(!gate.IsShut());
  BOOST_TEST(gate.Admits(true, now));
}

// Guards against a breaker that closes too early: among many concurrent calls,
// some that started before the upstream began to fail still succeed.
BOOST_AUTO_TEST_CASE(what_began_before_it_was_shut_opens_nothing) {
  failure_gate gate({});
  for (int call = 0; call < failure_gate::kRemembered; ++call) {
    gate.Record(true, false);
  }
  for (int call = 0; call < 10; ++call) gate.Record(false, false);
  BOOST_TEST(gate.IsShut());
}

BOOST_AUTO_TEST_CASE(an_idle_upstream_that_fails_is_no_choice) {
  near_candidate failing{.near = true,
                         .report = {.slot_limit = 14,
                                    .service_time_short_us = 1'000,
                                    .failure_per_mille = 900},
                         .reported = true};
  near_candidate sound{.near = false,
                       .report = {.slot_limit = 14,
                                  .running_short = 13,
                                  .service_time_short_us = 250'000},
                       .reported = true,
                       .crossing = milliseconds(4)};
  const std::vector<near_candidate> both = {failing, sound};
  BOOST_TEST(ChooseNearFirst(both, milliseconds(600), 5000, 0, {}).value() ==
             1U);
  const std::vector<near_candidate> alone = {failing};
  BOOST_TEST(ChooseNearFirst(alone, milliseconds(600), 5000, 0, {}).value() ==
             0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
