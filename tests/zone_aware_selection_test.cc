// Tests of zone-aware selection and of the retry time of rejected callers.
#include "policy/zone_aware_selection.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/retry_after.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr zone_selection_options kOptions;
constexpr double kFiveKib = 5 * 1024;

zone_candidate MakeCandidate(bool same_zone, std::uint32_t running) {
  return {.same_zone = same_zone,
          .report = {.slot_limit = 14,
                     .running_short = running,
                     .service_time_short_us = 250'000},
          .reported = true,
          .cross_zone_round_trip =
              same_zone ? duration(0) : duration(milliseconds(4))};
}

std::size_t Choose(const std::vector<zone_candidate>& candidates,
                   double bytes = kFiveKib) {
  return SelectZoneAware(candidates, milliseconds(600), bytes, 0, kOptions)
      .value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(zone_aware_selection_test)

BOOST_AUTO_TEST_CASE(no_candidates_give_no_choice) {
  BOOST_TEST(!SelectZoneAware({}, milliseconds(600), 0, 0, kOptions));
}

BOOST_AUTO_TEST_CASE(same_zone_is_chosen_while_it_has_free_slots) {
  BOOST_TEST(Choose({MakeCandidate(false, 0), MakeCandidate(true, 13)}) == 1U);
}

BOOST_AUTO_TEST_CASE(other_zone_is_chosen_when_waiting_would_miss_objective) {
  BOOST_TEST(Choose({MakeCandidate(false, 0), MakeCandidate(true, 40)}) == 0U);
}

BOOST_AUTO_TEST_CASE(large_bodies_wait_longer_in_same_zone_than_small_ones) {
  // 25 running calls on 14 slots of 250 ms: the wait is 214 ms, out of a slack
  // of 350 ms before the objective.
  const std::vector<zone_candidate> both = {MakeCandidate(false, 0),
                                            MakeCandidate(true, 25)};
  BOOST_TEST(Choose(both, kFiveKib) == 1U);
  BOOST_TEST(Choose(both, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(earliest_completion_is_chosen_within_zone) {
  BOOST_TEST(Choose({MakeCandidate(true, 30), MakeCandidate(true, 2)}) == 1U);
}

BOOST_AUTO_TEST_CASE(old_report_has_less_weight) {
  zone_candidate old = MakeCandidate(true, 30);
  old.report_age = milliseconds(900);
  BOOST_TEST((ExpectedWaitAt(old, kOptions) <
              ExpectedWaitAt(MakeCandidate(true, 30), kOptions)));
}

BOOST_AUTO_TEST_CASE(reported_backlog_decreases_with_report_age) {
  zone_candidate cold = MakeCandidate(true, 0);
  cold.report.service_time_short_us = 0;  // No call has been measured yet.
  cold.report.backlog_us = 800'000;
  cold.report_age = milliseconds(300);
  BOOST_TEST((BacklogAt(cold, kOptions) == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(own_dispatches_since_report_add_to_wait) {
  zone_candidate busy = MakeCandidate(true, 13);
  busy.dispatched_since_report = 20;
  BOOST_TEST((ExpectedWaitAt(busy, kOptions) > duration(0)));
}

// Guards against newly added upstreams getting all calls at once while they are
// still slow.
BOOST_AUTO_TEST_CASE(upstream_without_measurements_is_not_assumed_fastest) {
  zone_candidate unmeasured{.same_zone = true};
  const std::vector<zone_candidate> both = {unmeasured, MakeCandidate(true, 5)};
  BOOST_TEST(Choose(both) == 1U);
  const std::vector<zone_candidate> busy = {unmeasured,
                                            MakeCandidate(true, 40)};
  BOOST_TEST(Choose(busy) == 0U);
}

// Guards against an upstream that never receives a call, because its service
// time is measured only by calls.
BOOST_AUTO_TEST_CASE(upstream_without_measurements_eventually_receives_calls) {
  const std::vector<zone_candidate> both = {MakeCandidate(true, 3),
                                            {.same_zone = true}};
  int tried = 0;
  for (std::uint64_t tie = 0; tie < 1000; ++tie) {
    tried += SelectZoneAware(both, milliseconds(600), kFiveKib, tie, kOptions)
                         .value() == 1
                 ? 1
                 : 0;
  }
  BOOST_TEST(tried > 0);
}

BOOST_AUTO_TEST_CASE(ties_are_spread_over_candidates) {
  const std::vector<zone_candidate> equal(3, MakeCandidate(true, 0));
  std::set<std::size_t> chosen;
  for (std::uint64_t tie = 0; tie < 3; ++tie) {
    chosen.insert(
        SelectZoneAware(equal, milliseconds(600), 0, tie, kOptions).value());
  }
  BOOST_TEST(chosen.size() == 3U);
}

BOOST_AUTO_TEST_CASE(replay_retries_of_rejected_callers_are_spread_out) {
  seeded_random_source random(3);
  std::set<long> intervals;
  for (int caller = 0; caller < 50; ++caller) {
    const duration delay =
        RetryAfter(milliseconds(200), milliseconds(1400), random, {});
    BOOST_TEST((delay >= milliseconds(40)));
    BOOST_TEST((delay <= milliseconds(1400) / 3));
    intervals.insert(static_cast<long>(delay / milliseconds(10)));
  }
  // A backlog of 200 ms covers twenty intervals of 10 ms.
  BOOST_TEST(intervals.size() >= 12U);
}

// Load pattern: all upstreams of a service refuse two in five requests at
// random. A caller that returns at once is served within its objective.
BOOST_AUTO_TEST_CASE(refused_caller_returns_at_once) {
  seeded_random_source random(3);
  for (int caller = 0; caller < 50; ++caller) {
    const duration refused =
        RetryAfter(duration(0), milliseconds(1400), random, {}, true);
    BOOST_TEST((refused >= milliseconds(5)));
    BOOST_TEST((refused <= milliseconds(10)));
    // Behind a backlog a refusal changes nothing.
    BOOST_TEST((RetryAfter(milliseconds(200), milliseconds(1400), random, {},
                           true) >= milliseconds(100)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
