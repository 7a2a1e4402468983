// Replays of fleets of growing size: how the calls of one service are placed
// when each ingress hears from each upstream only rarely.
#include <boost/test/unit_test.hpp>

#include "support/fleet_replay.h"

namespace hornbeam {

namespace {

// 200 ingress nodes and 60 upstreams in five zones, each upstream slowed down
// for 150 ms at a time, six of them joining.
fleet_replay_options LargeFleet(double load) {
  return {.nodes = 200,
          .upstreams = 60,
          .load = load,
          .slowdowns = true,
          .cold_upstreams = 6};
}

double Share(std::size_t count, const fleet_replay_result& result) {
  return static_cast<double>(count) / static_cast<double>(result.calls);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_placement_test)

// Guards against nodes that keep to the few upstreams that they have measured
// and overload them while the others are idle.
BOOST_AUTO_TEST_CASE(replay_large_fleet_uses_all_upstreams) {
  const fleet_replay_result result = ReplayFleet(LargeFleet(0.6));
  BOOST_TEST(result.idle_upstreams == 0U);
  BOOST_TEST(result.InTimeShare() >= 0.96);
  BOOST_TEST(Share(result.rejected_with_room, result) <= 0.003);
}

// Guards against calls that are rejected within their zone while other zones
// have room.
BOOST_AUTO_TEST_CASE(replay_overloaded_large_fleet_rejects_few_with_room) {
  const fleet_replay_result result = ReplayFleet(LargeFleet(1.2));
  BOOST_TEST(Share(result.rejected_with_room, result) <= 0.08);
  BOOST_TEST(result.InTimeShare() >= 0.73);
}

// Guards against nodes that see the same state and all choose the same
// upstream.
BOOST_AUTO_TEST_CASE(replay_equal_views_do_not_choose_alike) {
  fleet_replay_options options = LargeFleet(0.6);
  options.oracle = true;
  const fleet_replay_result result = ReplayFleet(options);
  BOOST_TEST(result.idle_upstreams == 0U);
  BOOST_TEST(result.InTimeShare() >= 0.96);
}

BOOST_AUTO_TEST_CASE(replay_small_fleet_keeps_its_share) {
  const fleet_replay_result result = ReplayFleet({.nodes = 30,
                                                  .upstreams = 9,
                                                  .load = 0.6,
                                                  .slowdowns = true,
                                                  .cold_upstreams = 1,
                                                  .seconds = 60});
  BOOST_TEST(result.InTimeShare() >= 0.95);
  BOOST_TEST(Share(result.rejected, result) <= 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
