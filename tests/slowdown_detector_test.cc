// Tests of the detection of transient slowdowns, and of the effect of deferring
// work during one.
#include "policy/slowdown_detector.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/shedding_queue.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

// A VM that a noisy neighbour makes five times slower in a random 35% of the
// intervals of 150 ms, as sites report it.
class noisy_vm {
 public:
  explicit noisy_vm(std::uint64_t seed) {
    seeded_random_source random(seed);
    for (int part = 0; part < 400; ++part) {
      percents_.push_back(random.NextUnit() < 0.35 ? 500U : 100U);
    }
  }

  [[nodiscard]] std::uint32_t PercentAt(time_point now) const {
    const auto part =
        static_cast<std::size_t>((now - kStart) / milliseconds(150));
    return percents_[part % percents_.size()];
  }

 private:
  std::vector<std::uint32_t> percents_;
};

struct replay_totals {
  int in_time = 0;
  int all = 0;
};

// Replays 15 calls a second of 190 ms each, with an objective of 600 ms, at one
// VM with 14 slots. The slowdown at the start of a call applies to all of it.
replay_totals Replay(std::uint64_t seed, bool defers) {
  const noisy_vm vm(seed);
  seeded_random_source random(seed + 1);
  slowdown_detector detector{slowdown_options{}};
  shedding_queue queue;
  queue.SetLimits(14, 18);
  struct running_call {
    time_point ends;
    time_point objective_at;
  };
  std::vector<running_call> running;
  std::vector<time_point> objectives;  // By the low half of the id.
  replay_totals totals;
  const auto begin = [&](const request_id& id, time_point now) {
    running.push_back({now + milliseconds(190) * vm.PercentAt(now) / 100,
                       objectives[id.low]});
  };
  for (time_point now = kStart; now < kStart + std::chrono::seconds(40);
       now += milliseconds(2)) {
    for (const request_id& id : queue.Advance(now).admitted) begin(id, now);
    if (defers) {
      detector.Observe(vm.PercentAt(now), now);
      if (detector.ShouldDefer(now)) {
        queue.Pause(detector.Remainder(now));
      } else if (queue.IsPaused()) {
        for (const request_id& id : queue.Resume(now).admitted) begin(id, now);
      }
    }
    for (std::size_t i = 0; i < running.size();) {
      if (running[i].ends > now) {
        ++i;
        continue;
      }
      totals.in_time += running[i].ends <= running[i].objective_at ? 1 : 0;
      running[i] = running.back();
      running.pop_back();
      for (const request_id& id : queue.Release(now).admitted) begin(id, now);
    }
    if (random.NextUnit() >= 0.03) continue;
    ++totals.all;
    const request_id id{.high = 1, .low = objectives.size()};
    objectives.push_back(now + milliseconds(600));
    const auto decision = queue.Offer({.id = id,
                                       .objective_at = objectives.back(),
                                       .deadline = now + milliseconds(1500),
                                       .expected = milliseconds(190),
                                       .no_alternative = true},
                                      now);
    if (decision.verdict == shedding_verdict::kAdmitted) begin(id, now);
  }
  return totals;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slowdown_detector_test)

BOOST_AUTO_TEST_CASE(work_is_deferred_only_during_slowdown) {
  slowdown_detector detector{slowdown_options{}};
  detector.Observe(100, kStart);
  BOOST_TEST(!detector.ShouldDefer(kStart));
  detector.Observe(500, kStart + milliseconds(5));
  BOOST_TEST(detector.ShouldDefer(kStart + milliseconds(5)));
  BOOST_TEST((detector.Remainder(kStart + milliseconds(5)) > duration(0)));
  detector.Observe(100, kStart + milliseconds(150));
  BOOST_TEST(!detector.ShouldDefer(kStart + milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(old_observation_is_not_fresh) {
  slowdown_detector detector{slowdown_options{}};
  BOOST_TEST(!detector.IsFresh(kStart));
  detector.Observe(100, kStart);
  BOOST_TEST(detector.IsFresh(kStart + milliseconds(3)));
  BOOST_TEST(!detector.IsFresh(kStart + milliseconds(4)));
}

BOOST_AUTO_TEST_CASE(lasting_slowdown_does_not_defer_work) {
  slowdown_detector detector{slowdown_options{}};
  detector.Observe(400, kStart);
  detector.Observe(400, kStart + milliseconds(1300));
  BOOST_TEST(!detector.ShouldDefer(kStart + milliseconds(1300)));
  BOOST_TEST(detector.Percent() == 400U);
}

BOOST_AUTO_TEST_CASE(replay_deferring_work_in_slowdowns_meets_more_objectives) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    const replay_totals before = Replay(seed, false);
    const replay_totals after = Replay(seed, true);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << before.in_time << " and "
                               << after.in_time << " of " << after.all);
    BOOST_TEST(after.in_time > before.in_time);
    // Calls that start in a slowdown take 950 ms: all of them miss their
    // objective.
    BOOST_TEST(after.in_time * 100 >= after.all * 85);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
