// Tests of the admission queue at the serving node: call classes, deadlines,
// cancellation and drain.
#include "policy/admission_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <vector>

#include "base/seeded_random_source.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 10;

struct queue_fixture {
  fake_clock_source clock;
  admission_queue queue{clock, admission_options{}};
  std::uint64_t last_id = 0;

  queue_fixture() { queue.SetSlots(kSlots); }

  admission_decision Offer(call_class kind, duration left,
                           duration wait_limit = duration::max()) {
    return queue.Offer({.id = {.low = ++last_id},
                        .kind = kind,
                        .deadline = clock.Now() + left,
                        .wait_limit = wait_limit});
  }
  request_id LastId() const { return {.low = last_id}; }
  void Fill() {
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      Offer(call_class::kShort, seconds(9));
    }
  }
  load_report Load() const {
    load_report report;
    queue.Describe(report);
    return report;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission_queue_test, queue_fixture)

BOOST_AUTO_TEST_CASE(long_calls_use_at_most_their_share_of_slots) {
  for (std::uint32_t i = 0; i < 2 * kSlots; ++i) {
    Offer(call_class::kLong, seconds(60));
  }
  BOOST_TEST(Load().running_long == kSlots / 2);
  const admission_decision answer = Offer(call_class::kShort, seconds(1));
  BOOST_TEST((answer.verdict == admission_verdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(one_long_call_runs_regardless_of_queued_short_calls) {
  Fill();
  Offer(call_class::kLong, seconds(60));
  const request_id long_id = LastId();
  for (int i = 0; i < 50; ++i) Offer(call_class::kShort, seconds(9));
  const admission_change change = queue.Release({.low = 1}, milliseconds(10));
  BOOST_REQUIRE(change.admitted.size() == 1U);
  BOOST_TEST((change.admitted.front() == long_id));
}

BOOST_AUTO_TEST_CASE(queued_calls_run_in_deadline_order) {
  Fill();
  Offer(call_class::kShort, seconds(8));
  Offer(call_class::kShort, seconds(2));
  const request_id urgent = LastId();
  BOOST_TEST(
      (queue.Release({.low = 1}, milliseconds(10)).admitted.front() == urgent));
}

BOOST_AUTO_TEST_CASE(call_that_cannot_meet_its_deadline_is_rejected) {
  Fill();
  for (int i = 0; i < 100; ++i) Offer(call_class::kShort, seconds(9));
  // A call with a later deadline waits behind about 100 calls of 10 ms on 10
  // slots.
  Offer(call_class::kShort, seconds(10));
  BOOST_TEST((Offer(call_class::kShort, milliseconds(3)).reason ==
              rejection_reason::kDeadline));
  clock.Advance(seconds(10));
  const admission_change change = queue.Expire();
  BOOST_TEST(change.admitted.empty());
  BOOST_TEST(change.rejected.size() == 101U);
  BOOST_TEST(Load().queued_short == 0U);
}

BOOST_AUTO_TEST_CASE(call_is_rejected_when_wait_exceeds_its_limit) {
  Fill();
  for (int i = 0; i < 20; ++i) Offer(call_class::kShort, seconds(9));
  BOOST_TEST((Offer(call_class::kShort, seconds(9), milliseconds(5)).reason ==
              rejection_reason::kTryAnotherNode));
  BOOST_TEST((Offer(call_class::kShort, seconds(9)).verdict ==
              admission_verdict::kQueued));
}

BOOST_AUTO_TEST_CASE(early_rejection_bounds_the_wait) {
  admission_queue rejects_early(clock,
                                {.overload = overload_policy::kRejectEarly});
  rejects_early.SetSlots(kSlots);
  std::uint64_t id = 0;
  admission_decision answer;
  while (answer.reason == rejection_reason::kNone) {
    answer = rejects_early.Offer(
        {.id = {.low = ++id}, .deadline = clock.Now() + seconds(60)});
    BOOST_REQUIRE(id < 1000U);
  }
  BOOST_TEST((answer.reason == rejection_reason::kEarly));
  // A wait of 250 ms corresponds to 250 calls of 10 ms on 10 slots, besides
  // those that are running.
  BOOST_TEST(id >= 240U);
  BOOST_TEST(id <= 270U);
}

BOOST_AUTO_TEST_CASE(cancelled_queued_call_never_runs) {
  Fill();
  Offer(call_class::kShort, seconds(5));
  const request_id queued = LastId();
  BOOST_TEST((queue.Cancel(queued) == cancel_verdict::kDropped));
  BOOST_TEST((queue.Cancel({.low = 1}) == cancel_verdict::kRunning));
  BOOST_TEST((queue.Cancel(queued) == cancel_verdict::kUnknown));
  BOOST_TEST(queue.Release({.low = 1}, milliseconds(10)).admitted.empty());
  BOOST_TEST(queue.Release({.low = 1}, milliseconds(10)).admitted.empty());
  BOOST_TEST(Load().running_short == kSlots - 1);
}

BOOST_AUTO_TEST_CASE(drain_rejects_new_calls_and_ends_in_bounded_time) {
  Fill();
  Offer(call_class::kShort, seconds(60));
  Offer(call_class::kShort, seconds(60));
  queue.BeginDrain();
  BOOST_TEST((Offer(call_class::kShort, seconds(60)).reason ==
              rejection_reason::kDraining));
  BOOST_TEST(queue.Release({.low = 1}, milliseconds(10)).admitted.size() == 1U);
  clock.Advance(admission_options{}.drain_queue_time);
  const admission_change change = queue.Expire();
  BOOST_REQUIRE(change.rejected.size() == 1U);
  BOOST_TEST((change.rejected.front().reason == rejection_reason::kDraining));
  BOOST_TEST(!queue.IsIdle());
}

BOOST_AUTO_TEST_CASE(slow_start_adds_slots_gradually) {
  queue.BeginSlowStart();
  for (int i = 0; i < 20; ++i) Offer(call_class::kShort, seconds(9));
  BOOST_TEST(Load().running_short == admission_options{}.slow_start_slots);
  clock.Advance(admission_options{}.slow_start_time / 2);
  queue.Expire();
  BOOST_TEST(Load().running_short == 7U);
  clock.Advance(admission_options{}.slow_start_time);
  queue.Expire();
  BOOST_TEST(Load().running_short == kSlots);
}

// Guards against calls that are lost or run twice: at any time, each call is in
// exactly one of the states running, waiting and ended.
BOOST_AUTO_TEST_CASE(no_call_is_lost_or_run_twice) {
  seeded_random_source random(7);
  std::vector<request_id> running;
  std::vector<request_id> waiting;
  std::vector<request_id> ended;
  const auto move = [](std::vector<request_id>& from,
                       std::vector<request_id>& to, const request_id& id) {
    const auto found = std::ranges::find(from, id);
    BOOST_REQUIRE((found != from.end()));
    to.push_back(id);
    from.erase(found);
  };
  const auto apply = [&](const admission_change& change) {
    for (const request_id& id : change.admitted) move(waiting, running, id);
    for (const auto& each : change.rejected) move(waiting, ended, each.id);
  };
  for (int step = 0; step < 20000; ++step) {
    clock.Advance(duration(random.NextBelow(2000)));
    const std::uint64_t action = random.NextBelow(10);
    if (action < 5) {
      const call_class kind =
          random.NextBelow(5) == 0 ? call_class::kLong : call_class::kShort;
      const duration left(1 + random.NextBelow(300000));
      const admission_decision answer = Offer(kind, left);
      if (answer.verdict == admission_verdict::kAdmitted) {
        running.push_back(LastId());
      } else if (answer.verdict == admission_verdict::kQueued) {
        waiting.push_back(LastId());
      } else {
        ended.push_back(LastId());
      }
    } else if (action < 8 && !running.empty()) {
      const request_id id = running[random.NextBelow(running.size())];
      move(running, ended, id);
      apply(queue.Release(id, duration(random.NextBelow(50000))));
    } else if (action == 8 && !waiting.empty()) {
      const request_id id = waiting[random.NextBelow(waiting.size())];
      BOOST_REQUIRE((queue.Cancel(id) == cancel_verdict::kDropped));
      move(waiting, ended, id);
    } else if (action == 9) {
      apply(queue.SetSlots(1 + random.NextBelow(kSlots)));
      apply(queue.Expire());
    }
    const load_report load = Load();
    BOOST_REQUIRE(load.running_short + load.running_long == running.size());
    BOOST_REQUIRE(load.queued_short + load.queued_long == waiting.size());
    BOOST_REQUIRE(running.size() + waiting.size() + ended.size() == last_id);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
