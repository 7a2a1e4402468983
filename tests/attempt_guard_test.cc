// Tests of the serving node's attempt records and their limits.
#include "ledger/attempt_guard.h"

#include <boost/test/unit_test.hpp>

#include "support/ledger_simulation.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kIncarnation = 7;

attempt_reference MakeAttempt(std::uint64_t operation, std::uint32_t number,
                              std::int64_t claimed_at_us) {
  return {.operation = {"compteurs", {1, operation}},
          .number = number,
          .claimed_at_us = claimed_at_us};
}

struct guard_fixture {
  manual_clock clock;
  attempt_guard guard{clock,
                      kIncarnation,
                      {.max_terminated = 2,
                       .max_answer_bytes = 100,
                       .answer_retention = std::chrono::seconds(1)}};

  dispatch_verdict Begin(const attempt_reference& attempt) {
    return guard.Begin(attempt, kIncarnation);
  }
  attempt_state FenceState(const attempt_reference& attempt) {
    return guard.Fence(attempt, kIncarnation).state;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(attempt_guard_test, guard_fixture)

BOOST_AUTO_TEST_CASE(attempt_runs_once_and_only_in_its_incarnation) {
  const auto attempt = MakeAttempt(1, 1, 10);
  BOOST_TEST((guard.Begin(attempt, kIncarnation + 1) ==
              dispatch_verdict::kWrongIncarnation));
  BOOST_TEST((guard.Fence(attempt, kIncarnation - 1).state ==
              attempt_state::kOtherIncarnation));
  BOOST_TEST((Begin(attempt) == dispatch_verdict::kRun));
  BOOST_TEST((Begin(attempt) == dispatch_verdict::kDuplicate));
  BOOST_TEST((Begin(MakeAttempt(1, 2, 20)) == dispatch_verdict::kDuplicate));
  BOOST_TEST((FenceState(attempt) == attempt_state::kRunning));
  guard.MarkLost(attempt);
  BOOST_TEST((FenceState(attempt) == attempt_state::kLost));
}

BOOST_AUTO_TEST_CASE(fenced_attempt_never_runs_but_later_attempt_may) {
  BOOST_TEST((FenceState(MakeAttempt(1, 1, 10)) == attempt_state::kNotRun));
  BOOST_TEST((Begin(MakeAttempt(1, 1, 10)) == dispatch_verdict::kFenced));
  BOOST_TEST((Begin(MakeAttempt(1, 3, 30)) == dispatch_verdict::kRun));
  guard.Reject(MakeAttempt(1, 3, 30));
  BOOST_TEST((Begin(MakeAttempt(1, 2, 20)) == dispatch_verdict::kFenced));
  BOOST_TEST((FenceState(MakeAttempt(1, 2, 20)) == attempt_state::kNotRun));
}

BOOST_AUTO_TEST_CASE(evicted_attempt_neither_runs_nor_is_reported_not_run) {
  FenceState(MakeAttempt(1, 1, 10));
  Begin(MakeAttempt(9, 1, 5));  // Running attempts are not evicted.
  FenceState(MakeAttempt(2, 1, 20));
  FenceState(MakeAttempt(3, 1, 30));
  BOOST_TEST(guard.AttemptCount() == 3U);
  BOOST_TEST((Begin(MakeAttempt(1, 1, 10)) == dispatch_verdict::kForgotten));
  BOOST_TEST((FenceState(MakeAttempt(1, 1, 10)) == attempt_state::kForgotten));
  BOOST_TEST((Begin(MakeAttempt(4, 1, 10)) == dispatch_verdict::kForgotten));
  BOOST_TEST((FenceState(MakeAttempt(9, 1, 5)) == attempt_state::kRunning));
  BOOST_TEST((Begin(MakeAttempt(5, 1, 40)) == dispatch_verdict::kRun));
}

BOOST_AUTO_TEST_CASE(retained_answers_are_limited_in_bytes_and_time) {
  const auto first = MakeAttempt(1, 1, 10);
  const auto second = MakeAttempt(2, 1, 20);
  Begin(first);
  guard.Finish(first,
               {.status = 200, .headers = {}, .body = std::string(60, 'a')});
  BOOST_TEST((FenceState(first) == attempt_state::kAnswered));
  Begin(second);
  guard.Finish(second,
               {.status = 200, .headers = {}, .body = std::string(60, 'b')});
  BOOST_TEST(guard.AnswerBytes() == 60U);
  BOOST_TEST((FenceState(first) == attempt_state::kForgotten));
  BOOST_TEST((FenceState(second) == attempt_state::kAnswered));
  clock.Advance(std::chrono::seconds(1));
  BOOST_TEST((FenceState(second) == attempt_state::kForgotten));
  BOOST_TEST(guard.AnswerBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
