// Tests of the admission queue that sheds load in an overload.
#include "policy/shedding_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "base/seeded_random_source.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

request_id Id(std::uint64_t number) { return {.high = 1, .low = number}; }

shedding_call MakeCall(std::uint64_t number, time_point now) {
  return {.id = Id(number),
          .objective_at = now + milliseconds(600),
          .deadline = now + milliseconds(1500),
          .expected = milliseconds(200)};
}

// Returns a queue with one slot, which is taken.
shedding_queue MakeFull() {
  shedding_queue queue;
  queue.SetLimits(1, 1);
  queue.Offer(MakeCall(0, kStart), kStart);
  return queue;
}

// Replays ten seconds of calls of 200 ms with an objective of 600 ms at twice
// the capacity of 10 slots, with load shedding or with a plain FIFO queue.
// Returns the number of calls that are answered within their objective.
int ReplayOverload(bool sheds_load) {
  shedding_queue queue;
  queue.SetLimits(10, 10);
  std::deque<std::uint64_t> fifo;  // Without load shedding.
  std::size_t fifo_running = 0;
  std::map<std::uint64_t, time_point> objectives;
  std::multimap<time_point, std::uint64_t> ends;
  seeded_random_source random(7);
  std::uint64_t next = 1;
  int in_time = 0;
  const auto begin = [&](std::uint64_t call, time_point now) {
    ends.emplace(now + milliseconds(200), call);
  };
  const auto admit = [&](const shedding_change& change, time_point now) {
    for (const request_id& id : change.admitted) begin(id.low, now);
  };
  for (time_point now = kStart; now < kStart + std::chrono::seconds(10);
       now += milliseconds(1)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const std::uint64_t call = ends.begin()->second;
      in_time += now <= objectives[call] ? 1 : 0;
      ends.erase(ends.begin());
      if (sheds_load) {
        admit(queue.Release(now), now);
      } else if (!fifo.empty()) {
        begin(fifo.front(), now);
        fifo.pop_front();
      } else {
        --fifo_running;
      }
    }
    if (sheds_load) admit(queue.Advance(now), now);
    if (random.NextUnit() >= 0.1) continue;
    objectives[next] = now + milliseconds(600);
    if (sheds_load) {
      const auto decision = queue.Offer(MakeCall(next, now), now);
      if (decision.verdict == shedding_verdict::kAdmitted) begin(next, now);
    } else if (fifo_running < 10) {
      ++fifo_running;
      begin(next, now);
    } else {
      fifo.push_back(next);
    }
    ++next;
  }
  return in_time;
}

// Simulates a long overload of one upstream with 14 slots. Service times are
// not known in advance: mostly 200 to 440 ms, one call in ten takes 150 ms
// longer because of a transient slowdown, one in thirty takes four times as
// long. Callers retry once, 40 ms after a rejection.
class long_overload {
 public:
  static constexpr double kMeanWork = 0.32 * 1.1 + 0.015;  // Seconds.
  static constexpr double kSeconds = 60;

  explicit long_overload(std::uint64_t seed) : random_(seed) {
    queue_.SetLimits(kSlots, kSlots);
  }

  // Returns the share of callers that are answered within their objective of
  // 600 ms when the offered work is `load` times the capacity of the slots.
  double Run(double load) {
    const double per_second = load * kSlots / kMeanWork;
    const time_point end = kStart + Seconds(kSeconds);
    for (time_point at = kStart; at < end;
         at += Seconds(-std::log(1 - random_.NextUnit()) / per_second)) {
      events_.emplace(at, ++callers_);
      calls_[callers_] = {.arrived_at = at, .work = DrawServiceTime()};
    }
    const auto callers = static_cast<double>(callers_);
    while (!events_.empty()) {
      const auto [now, number] = *events_.begin();
      events_.erase(events_.begin());
      if (const auto due = queue_.NextChange(); due && *due <= now) {
        ApplyChange(queue_.Advance(now), now);
      }
      if (calls_[number].runs) {
        in_time_ += now <= calls_[number].arrived_at + kObjective ? 1 : 0;
        ApplyChange(queue_.Release(now), now);
      } else {
        Offer(number, now);
      }
    }
    return static_cast<double>(in_time_) / callers;
  }

 private:
  static constexpr std::uint32_t kSlots = 14;
  static constexpr duration kObjective = milliseconds(600);
  static constexpr duration kRetryDelay = milliseconds(40);

  struct caller {
    time_point arrived_at;
    duration work{};
    bool runs = false;
    bool retried = false;
  };

  static duration Seconds(double seconds) {
    return duration(static_cast<std::int64_t>(seconds * 1e6));
  }
  duration DrawServiceTime() {
    double work = 0.2 + 0.24 * random_.NextUnit();
    if (random_.NextUnit() < 1.0 / 30) work *= 4;
    if (random_.NextUnit() < 0.1) work += 0.15;
    return Seconds(work);
  }
  void Begin(std::uint64_t number, time_point now) {
    calls_[number].runs = true;
    events_.emplace(now + calls_[number].work, number);
  }
  void Reject(std::uint64_t number, time_point now) {
    if (std::exchange(calls_[number].retried, true)) return;
    events_.emplace(now + kRetryDelay, number);
  }
  void Offer(std::uint64_t number, time_point now) {
    const time_point arrived_at = calls_[number].arrived_at;
    const auto verdict =
        queue_
            .Offer({.id = Id(number),
                    .objective_at = arrived_at + kObjective,
                    .deadline = arrived_at + milliseconds(1500),
                    .expected = milliseconds(320)},
                   now)
            .verdict;
    if (verdict == shedding_verdict::kAdmitted) {
      Begin(number, now);
    } else if (verdict != shedding_verdict::kQueued) {
      Reject(number, now);
    } else {
      ApplyChange(queue_.Advance(now), now);
    }
  }
  void ApplyChange(const shedding_change& change, time_point now) {
    for (const request_id& id : change.admitted) Begin(id.low, now);
    for (const request_id& id : change.missing_objective) Reject(id.low, now);
    for (const request_id& id : change.missing_deadline) Reject(id.low, now);
  }

  seeded_random_source random_;
  shedding_queue queue_;
  std::multimap<time_point, std::uint64_t> events_;
  std::map<std::uint64_t, caller> calls_;
  std::uint64_t callers_ = 0;
  int in_time_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shedding_queue_test)

BOOST_AUTO_TEST_CASE(call_is_admitted_to_free_slot) {
  shedding_queue queue;
  queue.SetLimits(2, 2);
  const auto decision = queue.Offer(MakeCall(1, kStart), kStart);
  BOOST_TEST((decision.verdict == shedding_verdict::kAdmitted));
  BOOST_TEST(queue.Running() == 1U);
}

BOOST_AUTO_TEST_CASE(more_urgent_priority_is_admitted_first) {
  shedding_queue queue = MakeFull();
  shedding_call less_urgent = MakeCall(1, kStart);
  less_urgent.priority = 2;
  shedding_call more_urgent = MakeCall(2, kStart);
  more_urgent.priority = 1;
  more_urgent.objective_at += milliseconds(300);
  queue.Offer(less_urgent, kStart);
  queue.Offer(more_urgent, kStart);
  const auto change = queue.Release(kStart + milliseconds(10));
  BOOST_TEST(change.admitted.size() == 1U);
  BOOST_TEST(change.admitted.front().low == 2U);
}

BOOST_AUTO_TEST_CASE(call_missing_objective_is_rejected_unless_no_alternative) {
  shedding_queue queue = MakeFull();
  shedding_call past_objective = MakeCall(1, kStart);
  past_objective.objective_at = kStart + milliseconds(250);
  BOOST_TEST((queue.Offer(past_objective, kStart).verdict ==
              shedding_verdict::kMissesObjective));
  past_objective.no_alternative = true;
  BOOST_TEST((queue.Offer(past_objective, kStart).verdict ==
              shedding_verdict::kQueued));
}

BOOST_AUTO_TEST_CASE(call_missing_deadline_is_rejected_immediately) {
  shedding_queue queue = MakeFull();
  shedding_call past_deadline = MakeCall(1, kStart);
  past_deadline.deadline = kStart + milliseconds(150);
  past_deadline.no_alternative = true;
  BOOST_TEST((queue.Offer(past_deadline, kStart).verdict ==
              shedding_verdict::kMissesDeadline));
}

BOOST_AUTO_TEST_CASE(call_missing_objective_runs_after_call_meeting_it) {
  shedding_queue queue = MakeFull();
  shedding_call past_objective = MakeCall(1, kStart);
  past_objective.objective_at = kStart;
  past_objective.no_alternative = true;
  queue.Offer(past_objective, kStart);
  queue.Offer(MakeCall(2, kStart), kStart);
  const auto change = queue.Release(kStart + milliseconds(1));
  BOOST_TEST(change.admitted.front().low == 2U);
}

BOOST_AUTO_TEST_CASE(call_missing_objective_is_rejected_before_its_deadline) {
  shedding_queue queue = MakeFull();
  shedding_call past_objective = MakeCall(1, kStart);
  past_objective.objective_at = kStart;
  past_objective.no_alternative = true;
  queue.Offer(past_objective, kStart);
  const auto change = queue.Advance(kStart + milliseconds(400));
  BOOST_TEST(change.missing_deadline.size() == 1U);
  BOOST_TEST(queue.Waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(expedited_call_missing_objective_waits_until_deadline) {
  shedding_queue queue = MakeFull();
  shedding_call expedited = MakeCall(1, kStart);
  expedited.objective_at = kStart;
  expedited.expected = milliseconds(50);
  expedited.expedited = true;
  expedited.no_alternative = true;
  queue.Offer(expedited, kStart);
  const auto change = queue.Advance(kStart + milliseconds(1000));
  BOOST_TEST(change.missing_deadline.empty());
  BOOST_TEST(queue.Waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(expedited_calls_have_reserved_slots) {
  shedding_queue queue;
  queue.SetLimits(1, 2);
  queue.Offer(MakeCall(0, kStart), kStart);
  queue.Offer(MakeCall(1, kStart), kStart);
  shedding_call expedited = MakeCall(2, kStart);
  expedited.expedited = true;
  expedited.objective_at = kStart + milliseconds(300);
  BOOST_TEST(
      (queue.Offer(expedited, kStart).verdict == shedding_verdict::kAdmitted));
  BOOST_TEST(queue.Running() == 2U);
  BOOST_TEST(queue.Waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(paused_queue_admits_no_calls) {
  shedding_queue queue;
  queue.SetLimits(2, 2);
  queue.Pause(milliseconds(100));
  BOOST_TEST((queue.Offer(MakeCall(1, kStart), kStart).verdict ==
              shedding_verdict::kQueued));
  BOOST_TEST(queue.Advance(kStart).admitted.empty());
  BOOST_TEST(queue.Resume(kStart).admitted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(backlog_includes_waiting_calls) {
  shedding_queue queue = MakeFull();
  BOOST_TEST((queue.Backlog() == milliseconds(200)));
  queue.Offer(MakeCall(1, kStart), kStart);
  BOOST_TEST((queue.Backlog() == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(cancelled_waiting_call_is_not_admitted) {
  shedding_queue queue = MakeFull();
  queue.Offer(MakeCall(1, kStart), kStart);
  BOOST_TEST(queue.Cancel(Id(1)));
  BOOST_TEST(!queue.Cancel(Id(1)));
  BOOST_TEST(queue.Release(kStart).admitted.empty());
}

BOOST_AUTO_TEST_CASE(replay_overload_of_twice_the_capacity) {
  const int before = ReplayOverload(false);
  const int after = ReplayOverload(true);
  BOOST_TEST_MESSAGE(before << " and " << after << " in time");
  // 10 slots of 200 ms answer 500 calls in ten seconds.
  BOOST_TEST(after >= 450);
  BOOST_TEST(after > 2 * before);
}

// Requires nine tenths of the calls that an oracle could serve, which spends
// all slot time on work of the mean length that meets its objective.
BOOST_AUTO_TEST_CASE(replay_long_overload) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const double load : {1.2, 1.6, 2.2}) {
      const double share = long_overload(seed).Run(load);
      BOOST_TEST(share >= 0.9 / load,
                 "seed " << seed << ", load " << load << ": share " << share);
    }
  }
}

BOOST_AUTO_TEST_CASE(newest_call_is_admitted_first_while_many_wait) {
  shedding_queue queue = MakeFull();
  const auto offer = [&](std::uint64_t number, bool expedited) {
    shedding_call call = MakeCall(number, kStart);
    call.objective_at += milliseconds(2000 + number);
    call.deadline = call.objective_at;
    call.expected = milliseconds(10);
    call.expedited = expedited;
    return queue.Offer(call, kStart).verdict;
  };
  BOOST_TEST((offer(1, false) == shedding_verdict::kQueued));
  BOOST_TEST((offer(2, true) == shedding_verdict::kQueued));
  BOOST_TEST((offer(3, false) == shedding_verdict::kQueued));
  BOOST_TEST(queue.Advance(kStart).missing_objective.empty());
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 3; ++i) {
    for (const request_id& id : queue.Release(kStart).admitted) {
      order.push_back(id.low);
    }
  }
  BOOST_TEST((order == std::vector<std::uint64_t>{2, 3, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
