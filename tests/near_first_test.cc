// Tests of zone-aware selection and of the retry time of rejected callers.
#include "policy/near_first.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/return_pacing.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr near_first_options kOptions;
constexpr double kFiveKib = 5 * 1024;

near_candidate MakeCandidate(bool near, std::uint32_t running) {
  return {.near = near,
          .report = {.slot_limit = 14,
                     .running_short = running,
                     .service_time_short_us = 250'000},
          .reported = true,
          .crossing = near ? duration(0) : duration(milliseconds(4))};
}

std::size_t Choose(const std::vector<near_candidate>& candidates,
                   double bytes = kFiveKib) {
  return ChooseNearFirst(candidates, milliseconds(600), bytes, 0, kOptions)
      .value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(near_first_test)

BOOST_AUTO_TEST_CASE(nothing_is_chosen_from_nothing) {
  BOOST_TEST(!ChooseNearFirst({}, milliseconds(600), 0, 0, kOptions));
}

BOOST_AUTO_TEST_CASE(near_by_while_there_is_room) {
  BOOST_TEST(Choose({MakeCandidate(false, 0), MakeCandidate(true, 13)}) == 1U);
}

BOOST_AUTO_TEST_CASE(to_another_zone_when_waiting_would_cost_the_objective) {
  BOOST_TEST(Choose({MakeCandidate(false, 0), MakeCandidate(true, 40)}) == 0U);
}

BOOST_AUTO_TEST_CASE(many_bytes_wait_longer_near_by_than_few) {
  // 25 running calls on 14 slots of 250 ms: the wait is 214 ms out of the 350
  // ms that remain.
  const std::vector<near_candidate> both = {MakeCandidate(false, 0),
                                            MakeCandidate(true, 25)};
  BOOST_TEST(Choose(both, kFiveKib) == 1U);
  BOOST_TEST(Choose(both, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(of_two_near_by_the_one_that_ends_sooner) {
  BOOST_TEST(Choose({MakeCandidate(true, 30), MakeCandidate(true, 2)}) == 1U);
}

BOOST_AUTO_TEST_CASE(an_old_report_counts_less) {
  near_candidate old = MakeCandidate(true, 30);
  old.report_age = milliseconds(900);
  BOOST_TEST((ExpectedWaitAt(old, kOptions) <
              ExpectedWaitAt(MakeCandidate(true, 30), kOptions)));
}

BOOST_AUTO_TEST_CASE(a_stated_backlog_runs_off) {
  near_candidate cold = MakeCandidate(true, 0);
  cold.report.service_time_short_us = 0;  // No call has been measured yet.
  cold.report.backlog_us = 800'000;
  cold.report_age = milliseconds(300);
  BOOST_TEST((BacklogAt(cold, kOptions) == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(own_dispatches_since_the_report_count) {
  near_candidate busy = MakeCandidate(true, 13);
  busy.own_since = 20;
  BOOST_TEST((ExpectedWaitAt(busy, kOptions) > duration(0)));
}

// Guards against newly added upstreams getting all calls at once while they are
// still slow.
BOOST_AUTO_TEST_CASE(one_that_told_nothing_yet_is_not_the_fastest) {
  near_candidate added{.near = true};
  const std::vector<near_candidate> both = {added, MakeCandidate(true, 5)};
  BOOST_TEST(Choose(both) == 1U);
  const std::vector<near_candidate> busy = {added, MakeCandidate(true, 40)};
  BOOST_TEST(Choose(busy) == 0U);
}

// Guards against an upstream that stays idle for ever: without calls, its
// service time is never measured. This test is expected to fail; see
// KNOWN-RED.txt.
BOOST_AUTO_TEST_CASE(one_that_told_nothing_gets_work_in_the_end) {
  const std::vector<near_candidate> both = {MakeCandidate(true, 3),
                                            {.near = true}};
  int tried = 0;
  for (std::uint64_t tie = 0; tie < 1000; ++tie) {
    tried += ChooseNearFirst(both, milliseconds(600), kFiveKib, tie, kOptions)
                         .value() == 1
                 ? 1
                 : 0;
  }
  BOOST_TEST(tried > 0);
}

BOOST_AUTO_TEST_CASE(ties_do_not_all_go_the_same_way) {
  const std::vector<near_candidate> equal(3, MakeCandidate(true, 0));
  std::set<std::size_t> chosen;
  for (std::uint64_t tie = 0; tie < 3; ++tie) {
    chosen.insert(
        ChooseNearFirst(equal, milliseconds(600), 0, tie, kOptions).value());
  }
  BOOST_TEST(chosen.size() == 3U);
}

BOOST_AUTO_TEST_CASE(replay_rejected_callers_do_not_return_as_one_clump) {
  seeded_random_source random(3);
  std::set<long> slots;
  for (int caller = 0; caller < 50; ++caller) {
    const duration back =
        ReturnAfter(milliseconds(200), milliseconds(1400), random, {});
    BOOST_TEST((back >= milliseconds(40)));
    BOOST_TEST((back <= milliseconds(1400) / 3));
    slots.insert(static_cast<long>(back / milliseconds(10)));
  }
  // A backlog of 200 ms covers twenty intervals of 10 ms.
  BOOST_TEST(slots.size() >= 12U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
