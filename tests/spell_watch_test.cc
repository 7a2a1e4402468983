// Tests of the detection of transient slowdowns, and of the effect of deferring
// work during one.
#include "policy/spell_watch.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/crest_queue.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

// A VM that a noisy neighbour makes five times slower in a random 35% of the
// intervals of 150 ms, which is the noise that sites report.
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
replay_totals Replay(std::uint64_t seed, bool holds_back) {
  const noisy_vm vm(seed);
  seeded_random_source random(seed + 1);
  spell_watch watch{spell_options{}};
  crest_queue queue;
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
    if (holds_back) {
      watch.Observe(vm.PercentAt(now), now);
      if (watch.HoldsBack(now)) {
        queue.Shut(watch.Remainder(now));
      } else if (queue.IsShut()) {
        for (const request_id& id : queue.Open(now).admitted) begin(id, now);
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
                                       .settles = true},
                                      now);
    if (decision.verdict == crest_verdict::kAdmitted) begin(id, now);
  }
  return totals;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(spell_watch_test)

BOOST_AUTO_TEST_CASE(work_waits_in_a_spell_and_only_in_one) {
  spell_watch watch{spell_options{}};
  watch.Observe(100, kStart);
  BOOST_TEST(!watch.HoldsBack(kStart));
  watch.Observe(500, kStart + milliseconds(5));
  BOOST_TEST(watch.HoldsBack(kStart + milliseconds(5)));
  BOOST_TEST((watch.Remainder(kStart + milliseconds(5)) > duration(0)));
  watch.Observe(100, kStart + milliseconds(150));
  BOOST_TEST(!watch.HoldsBack(kStart + milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(an_old_observation_says_nothing) {
  spell_watch watch{spell_options{}};
  BOOST_TEST(!watch.IsFresh(kStart));
  watch.Observe(100, kStart);
  BOOST_TEST(watch.IsFresh(kStart + milliseconds(10)));
  BOOST_TEST(!watch.IsFresh(kStart + milliseconds(11)));
}

BOOST_AUTO_TEST_CASE(slowness_that_stays_is_no_spell) {
  spell_watch watch{spell_options{}};
  watch.Observe(400, kStart);
  watch.Observe(400, kStart + milliseconds(1300));
  BOOST_TEST(!watch.HoldsBack(kStart + milliseconds(1300)));
  BOOST_TEST(watch.Percent() == 400U);
}

BOOST_AUTO_TEST_CASE(replay_waiting_out_spells_serves_more_in_time) {
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
