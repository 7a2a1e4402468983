// Tests that the probe budget holds in every window, also across restarts.
#include "policy/probe_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

#include "base/seeded_random_source.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

namespace {

constexpr probe_budget_options kOptions{
    .window = std::chrono::milliseconds(100),
    .messages_per_window = 5,
    .bytes_per_window = 700,
    .burst_messages = 3,
    .burst_bytes = 300};

struct sent_message {
  time_point at;
  std::int64_t bytes;
};

// Drops what lies before the last window of `sent`, and returns whether that
// window is within the budget.
bool LastWindowFits(std::deque<sent_message>& sent) {
  while (sent.back().at - sent.front().at > kOptions.window) sent.pop_front();
  std::int64_t bytes = 0;
  for (const sent_message& each : sent) bytes += each.bytes;
  return sent.size() <= 5U && bytes <= kOptions.bytes_per_window;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(probe_budget_test)

BOOST_AUTO_TEST_CASE(budget_holds_in_every_window_across_restarts) {
  fake_clock_source clock;
  seeded_random_source random(11);
  auto budget = std::make_unique<probe_budget>(clock, kOptions);
  std::deque<sent_message> sent;
  for (int step = 0; step < 200000; ++step) {
    // Mostly attempts in quick succession, occasionally a pause or a restart.
    const bool pauses = random.NextBelow(50) == 0;
    clock.Advance(duration(random.NextBelow(pauses ? 300000 : 3000)));
    if (random.NextBelow(40) == 0) {
      budget = std::make_unique<probe_budget>(clock, kOptions);
    }
    const auto bytes = static_cast<std::int64_t>(random.NextBelow(310));
    if (!budget->TrySpend(bytes)) continue;
    sent.push_back({.at = clock.Now(), .bytes = bytes});
    BOOST_REQUIRE(LastWindowFits(sent));
  }
}

BOOST_AUTO_TEST_CASE(empty_bucket_refills_at_configured_rate) {
  fake_clock_source clock;
  probe_budget budget(clock, kOptions);
  BOOST_TEST(!budget.TrySpend(10));
  int granted = 0;
  for (int step = 0; step < 10000; ++step) {
    clock.Advance(std::chrono::milliseconds(1));
    if (budget.TrySpend(10)) ++granted;
  }
  // 5 - 3 messages in each of 100 windows.
  BOOST_TEST(granted == 200);
  BOOST_TEST(!budget.TrySpend(kOptions.burst_bytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
