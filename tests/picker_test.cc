// Tests of the load view, the expected wait and the pickers.
#include "policy/picker.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/load_view.h"
#include "support/fake_clock_source.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 20;

upstream_id Id(std::size_t number) {
  return {.node = "upstream-" + std::to_string(number), .incarnation = 1};
}

load_report Report(std::uint64_t sequence, std::uint32_t running = 4) {
  return {.incarnation = 1,
          .sequence = sequence,
          .slot_limit = kSlots,
          .running_short = running,
          .service_time_short_us = 10000,
          .service_time_long_us = 250000};
}

// An ingress node with `count` upstreams whose load reports are the same.
struct ingress {
  fake_clock_source& clock;
  seeded_random_source random;
  load_view view;
  std::unique_ptr<picker> chooser;

  ingress(fake_clock_source& time, std::uint64_t seed, std::size_t count)
      : clock(time),
        random(seed),
        view(clock),
        chooser(MakePicker(picker_kind::kExpectedWait, random)) {
    std::vector<upstream_member> members;
    members.reserve(count);
    for (std::size_t i = 0; i < count; ++i) members.push_back({.id = Id(i)});
    view.SetMembers(members);
    for (std::size_t i = 0; i < count; ++i) {
      view.RecordReport(Id(i), Report(1));
    }
  }
  std::size_t Send() {
    const auto decision = chooser->Pick(view.Candidates(), {});
    view.RecordDispatch(Id(*decision.chosen), call_class::kShort);
    return *decision.chosen;
  }
};

// Sends `sent` calls and returns how many of them each upstream received.
std::vector<int> SendMany(ingress& from, int sent, std::size_t count) {
  std::vector<int> received(count, 0);
  for (int i = 0; i < sent; ++i) ++received[from.Send()];
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(picker_test)

// A late or reordered report, or one of another incarnation, must not replace
// newer data about an upstream.
BOOST_AUTO_TEST_CASE(
    stale_reports_and_reports_of_other_incarnations_are_ignored) {
  fake_clock_source clock;
  ingress node(clock, 1, 2);
  BOOST_TEST(node.view.RecordReport(Id(0), Report(5, 9)));
  BOOST_TEST(!node.view.RecordReport(Id(0), Report(4, 1)));
  BOOST_TEST(!node.view.RecordReport(Id(0), Report(5, 1)));
  load_report other_incarnation = Report(9, 1);
  other_incarnation.incarnation = 2;
  BOOST_TEST(!node.view.RecordReport(Id(0), other_incarnation));
  BOOST_TEST(!node.view.RecordReport(Id(7), Report(9)));
  BOOST_TEST(node.view.Candidates()[0].load.report.running_short == 9U);
}

// Calls that the upstream already reports must not be counted twice.
BOOST_AUTO_TEST_CASE(only_calls_sent_after_a_report_count_as_unreported) {
  fake_clock_source clock;
  ingress node(clock, 1, 1);
  node.Send();
  const dispatch_ticket second =
      node.view.RecordDispatch(Id(0), call_class::kShort);
  BOOST_TEST(node.view.Candidates()[0].load.short_calls.unreported == 2U);
  clock.Advance(milliseconds(5));
  node.view.RecordReport(Id(0), Report(2));
  node.Send();
  BOOST_TEST(node.view.Candidates()[0].load.short_calls.unreported == 1U);
  node.view.RecordCompletion(second, dispatch_result::kAnswered);
  node.view.RecordCompletion(second, dispatch_result::kAnswered);
  BOOST_TEST(node.view.Candidates()[0].load.short_calls.outstanding == 2U);
}

// Guards against herding: many ingress nodes with the same report send their
// calls to the one upstream that looks best in it.
BOOST_AUTO_TEST_CASE(nodes_with_same_report_do_not_herd) {
  constexpr std::size_t kUpstreams = 5;
  constexpr std::size_t kNodes = 40;
  fake_clock_source clock;
  std::vector<int> received(kUpstreams, 0);
  for (std::size_t seed = 0; seed < kNodes; ++seed) {
    ingress node(clock, seed, kUpstreams);
    // Upstream 3 reports a slightly lower load than the others.
    node.view.RecordReport(Id(3), Report(2, 3));
    clock.Advance(milliseconds(1));
    ++received[node.Send()];
    ++received[node.Send()];
  }
  // An even share is 16 calls; upstream 3 must stay below three times that.
  BOOST_TEST(received[3] < 3 * 16);
  BOOST_TEST(std::ranges::min(received) > 16 / 4);
}

// An upstream that fails calls immediately has a low latency and few running
// calls, and must not be preferred because of them.
BOOST_AUTO_TEST_CASE(fast_failing_upstream_is_not_selected) {
  fake_clock_source clock;
  ingress node(clock, 1, 5);
  for (int i = 0; i < 3; ++i) {
    const auto ticket = node.view.RecordDispatch(Id(2), call_class::kShort);
    node.view.RecordCompletion(ticket, dispatch_result::kFailed);
  }
  BOOST_TEST(SendMany(node, 50, 5)[2] == 0);
}

// The last report of an upstream that stops answering still shows a low load;
// its overdue call must raise its score.
BOOST_AUTO_TEST_CASE(unresponsive_upstream_is_not_selected) {
  fake_clock_source clock;
  ingress node(clock, 1, 5);
  node.view.RecordDispatch(Id(2), call_class::kShort);
  clock.Advance(milliseconds(500));
  BOOST_TEST(SendMany(node, 50, 5)[2] == 0);
}

BOOST_AUTO_TEST_CASE(near_upstreams_are_preferred_until_saturated) {
  fake_clock_source clock;
  ingress node(clock, 1, 4);
  const std::vector<upstream_member> members = {
      {.id = Id(0), .distance = zone_distance::kSameZone},
      {.id = Id(1), .distance = zone_distance::kOtherZone},
      {.id = Id(2), .distance = zone_distance::kOtherZone},
      {.id = Id(3), .distance = zone_distance::kOtherZone}};
  node.view.SetMembers(members);
  BOOST_TEST(SendMany(node, 10, 4)[0] == 10);
  node.view.RecordReport(Id(0), Report(2, kSlots));
  BOOST_TEST(SendMany(node, 10, 4)[0] == 0);
}

BOOST_AUTO_TEST_CASE(decision_lists_compared_candidates) {
  fake_clock_source clock;
  ingress node(clock, 1, 5);
  clock.Advance(milliseconds(30));
  const auto candidates = node.view.Candidates();
  const pick_decision decision = node.chooser->Pick(candidates, {});
  BOOST_TEST(decision.scores.size() == picker_options{}.sample_size);
  BOOST_TEST(decision.scores.front().index == *decision.chosen);
  BOOST_TEST((decision.scores.front().report_age == milliseconds(30)));
  BOOST_TEST(!node.chooser->Pick({}, {}).chosen.has_value());
}

BOOST_AUTO_TEST_CASE(every_picker_kind_selects_a_candidate) {
  fake_clock_source clock;
  ingress node(clock, 1, 5);
  for (const std::string_view name : {"expected_wait", "random", "round_robin",
                                      "least_outstanding", "two_choices"}) {
    const auto kind = ParsePickerKind(name);
    BOOST_REQUIRE(kind.has_value());
    const auto chooser = MakePicker(*kind, node.random);
    BOOST_TEST(*chooser->Pick(node.view.Candidates(), {}).chosen < 5U);
    BOOST_TEST(!chooser->Pick({}, {}).chosen.has_value());
  }
  BOOST_TEST(!ParsePickerKind("best").has_value());
}

BOOST_AUTO_TEST_CASE(stalest_member_is_probed_once) {
  fake_clock_source clock;
  ingress node(clock, 1, 3);
  BOOST_TEST(!node.view.StalestMember(milliseconds(100)).has_value());
  clock.Advance(milliseconds(100));
  node.view.RecordReport(Id(0), Report(2));
  const auto stalest = node.view.StalestMember(milliseconds(100));
  BOOST_REQUIRE(stalest.has_value());
  node.view.RecordProbe(*stalest);
  const auto next = node.view.StalestMember(milliseconds(100));
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((*next != *stalest));
  BOOST_TEST((*next != Id(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
