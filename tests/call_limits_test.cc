// Tests of the retry and hedge budgets, the ejector, the concurrency limit and
// the call classes.
#include <boost/test/unit_test.hpp>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/call_budget.h"
#include "policy/call_classifier.h"
#include "policy/concurrency_limit.h"
#include "policy/ejector.h"
#include "policy/hedge_budget.h"
#include "policy/retry_budget.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 20;

std::vector<upstream_id> Members(std::size_t count) {
  std::vector<upstream_id> members;
  members.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({.node = std::to_string(i), .incarnation = 1});
  }
  return members;
}

void RecordManyFailures(ejector& ejections, const upstream_id& id) {
  for (int i = 0; i < 20; ++i) ejections.RecordFailure(id);
}

// Records answers to calls of duration `time` for one second, at the rate
// that `kSlots` concurrent callers reach.
void RecordOneSecond(concurrency_limit& limit, fake_clock_source& clock,
                     duration time) {
  const time_point end = clock.Now() + seconds(1);
  while (clock.Now() < end) {
    clock.Advance(time / kSlots);
    limit.RecordAnswer(call_class::kShort, time, limit.Limit());
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(call_limits_test)

BOOST_AUTO_TEST_CASE(only_safe_calls_are_retried) {
  retry_budget budget({});
  BOOST_TEST((budget.Decide({.call_outcome = outcome::kUnknown}) ==
              retry_verdict::kUnsafe));
  BOOST_TEST((budget.Decide({.call_outcome = outcome::kAnswered,
                             .idempotent = true}) == retry_verdict::kUnsafe));
  BOOST_TEST((budget.Decide({.call_outcome = outcome::kUnknown,
                             .idempotent = true}) == retry_verdict::kRetry));
  BOOST_TEST((budget.Decide({.call_outcome = outcome::kNotRun}) ==
              retry_verdict::kRetry));
  BOOST_TEST((budget.Decide({.call_outcome = outcome::kNotRun,
                             .attempts = 3}) == retry_verdict::kAttempts));
}

BOOST_AUTO_TEST_CASE(retries_are_a_bounded_share_of_calls) {
  retry_budget budget({});
  int retries = 0;
  for (int call = 0; call < 1000; ++call) {
    budget.RecordCall();
    for (int retry = 0; retry < 2; ++retry) {
      const auto verdict = budget.Decide({.call_outcome = outcome::kNotRun});
      retries += verdict == retry_verdict::kRetry ? 1 : 0;
    }
  }
  BOOST_TEST(retries <= 220);
  BOOST_TEST(retries >= 200);
}

BOOST_AUTO_TEST_CASE(wait_limit_is_suspended_while_it_rejects_many_calls) {
  retry_budget budget({});
  BOOST_TEST(budget.MayLimitWait(0));
  BOOST_TEST(!budget.MayLimitWait(1));
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(
        (budget.Decide({.call_outcome = outcome::kNotRun,
                        .by_wait_limit = true}) == retry_verdict::kRetry));
  }
  BOOST_TEST(!budget.MayLimitWait(0));
}

BOOST_AUTO_TEST_CASE(hedges_are_few_and_only_for_short_idempotent_calls) {
  hedge_budget budget({});
  BOOST_TEST(!budget.Delay(call_class::kShort, true).has_value());
  for (int call = 0; call < 1000; ++call) {
    budget.RecordCall();
    budget.RecordLatency(milliseconds(call < 990 ? 10 : 80));
  }
  BOOST_TEST(!budget.Delay(call_class::kLong, true).has_value());
  BOOST_TEST(!budget.Delay(call_class::kShort, false).has_value());
  const duration delay = budget.Delay(call_class::kShort, true).value();
  BOOST_TEST((delay >= milliseconds(80) && delay < milliseconds(100)));
  int hedges = 0;
  while (budget.TryHedge()) ++hedges;
  BOOST_TEST(hedges <= 4);
}

BOOST_AUTO_TEST_CASE(ejection_is_bounded_and_ends_after_successful_trials) {
  fake_clock_source clock;
  ejector ejections(clock, {});
  const auto members = Members(3);
  ejections.SetMembers(members);
  RecordManyFailures(ejections, members[0]);
  RecordManyFailures(ejections, members[1]);
  BOOST_TEST((ejections.State(members[0]) == ejection_state::kEjected));
  BOOST_TEST((ejections.State(members[1]) == ejection_state::kActive));

  clock.Advance(seconds(1));
  BOOST_TEST((ejections.State(members[0]) == ejection_state::kTrial));
  const std::vector<candidate> candidates = {{.id = members[0]},
                                             {.id = members[2]}};
  BOOST_TEST(ejections.Eligible(candidates).size() == 2U);
  ejections.RecordDispatch(members[0]);
  BOOST_TEST(ejections.Eligible(candidates).size() == 1U);
  ejections.RecordFailure(members[0]);
  clock.Advance(seconds(1));
  BOOST_TEST((ejections.State(members[0]) == ejection_state::kEjected));
  clock.Advance(seconds(1));
  for (int trial = 0; trial < 3; ++trial) {
    BOOST_TEST((ejections.State(members[0]) == ejection_state::kTrial));
    ejections.RecordDispatch(members[0]);
    ejections.RecordSuccess(members[0]);
  }
  BOOST_TEST((ejections.State(members[0]) == ejection_state::kActive));
}

BOOST_AUTO_TEST_CASE(all_candidates_stay_when_none_is_eligible) {
  fake_clock_source clock;
  ejector ejections(clock, {.max_ejected_per_mille = 1000});
  const auto members = Members(1);
  ejections.SetMembers(members);
  RecordManyFailures(ejections, members[0]);
  const std::vector<candidate> only = {{.id = members[0]}};
  BOOST_TEST(ejections.Eligible(only).size() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_shrinks_on_sheds_and_overload_and_recovers) {
  fake_clock_source clock;
  concurrency_limit limit(clock, {});
  limit.SetAnnounced(kSlots);
  RecordOneSecond(limit, clock, milliseconds(10));
  BOOST_TEST(limit.Limit() == kSlots);
  for (int shed = 0; shed < 200; ++shed) {
    clock.Advance(milliseconds(5));
    limit.RecordShed(limit.Limit());
  }
  BOOST_TEST(limit.Limit() < kSlots / 2);
  BOOST_TEST(limit.Limit() >= 2U);
  for (int i = 0; i < 8; ++i) RecordOneSecond(limit, clock, milliseconds(10));
  BOOST_TEST(limit.Limit() == kSlots);
  RecordOneSecond(limit, clock, milliseconds(60));
  BOOST_TEST(limit.Limit() < kSlots);
  // A lasting slowdown does not count as overload.
  for (int i = 0; i < 60; ++i) RecordOneSecond(limit, clock, milliseconds(60));
  BOOST_TEST(limit.Limit() == kSlots);
}

// Extra calls that a deployment allows on top of a share of the ordinary ones,
// and its number of nodes.
struct deployment_bound {
  std::uint32_t slack = 0;
  std::size_t nodes = 0;
};

// Guards against a fixed burst per node: with bursts of four, 71 nodes together
// exceeded the slack of their deployment.
BOOST_AUTO_TEST_CASE(bursts_of_all_nodes_stay_within_deployment_slack) {
  for (const deployment_bound& bound :
       {deployment_bound{58, 12}, deployment_bound{62, 14},
        deployment_bound{162, 61}, deployment_bound{182, 71},
        deployment_bound{20, 12}, deployment_bound{2640, 1300}}) {
    const shared_budget shared = MakeSharedBudget(0.2, bound.slack);
    BOOST_TEST(shared.per_mille < 200U);
    const std::uint32_t burst = BurstPerNode(shared.burst, 5, bound.nodes);
    BOOST_TEST(burst >= 1U);
    BOOST_TEST(burst <= 5U);
    BOOST_TEST(burst * bound.nodes <= bound.slack);
  }
  BOOST_TEST(BurstPerNode(52, 5, 0) == 5U);
  call_budget budget({.per_mille = 170, .burst = 4});
  budget.SetBurst(2);
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(!budget.TrySpend());
  for (int call = 0; call < 1000; ++call) budget.RecordCall();
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(budget.TrySpend());
  BOOST_TEST(!budget.TrySpend());
}

BOOST_AUTO_TEST_CASE(route_classes_are_learnt_in_bounded_memory) {
  call_classifier classifier({.max_routes = 10});
  const auto slow = milliseconds(400);
  for (int well = 0; well < 5; ++well) {
    const std::string target =
        "/nappe-data/wells/" + std::to_string(well) + "/history?from=1";
    classifier.Record("GET", target, slow);
    classifier.Record("GET", "/guichet/licences/" + std::to_string(well),
                      milliseconds(9));
  }
  BOOST_TEST((classifier.Classify("GET", "/nappe-data/wells/99/history") ==
              call_class::kLong));
  BOOST_TEST((classifier.Classify("POST", "/nappe-data/wells/99/history") ==
              call_class::kShort));
  BOOST_TEST((classifier.Classify("GET", "/guichet/licences/77") ==
              call_class::kShort));
  for (char letter = 'a'; letter < 'a' + 10; ++letter) {
    classifier.Record("GET", std::string("/") + letter, milliseconds(1));
  }
  BOOST_TEST((classifier.Classify("GET", "/nappe-data/wells/99/history") ==
              call_class::kShort));
}

BOOST_AUTO_TEST_CASE(slow_upstream_does_not_make_short_route_long) {
  call_classifier classifier({});
  seeded_random_source random(3);
  for (int call = 0; call < 1000; ++call) {
    const bool slow = random.NextBelow(5) == 0;
    classifier.Record("GET", "/guichet/quota", milliseconds(slow ? 200 : 10));
    const bool is_settled = call > 64;
    BOOST_TEST((!is_settled || classifier.Classify("GET", "/guichet/quota") ==
                                   call_class::kShort));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
