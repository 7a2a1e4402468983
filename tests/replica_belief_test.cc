// What one replica believes of its leader.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <variant>
#include <vector>

#include "base/seeded_random_source.h"
#include "replication/replica_core.h"

namespace hornbeam {

namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kCluster = 7;
const replica_identity kLeader{.name = "leader", .incarnation = 1};
const replica_identity kLearner{.name = "learner", .incarnation = 2};

replica_core MakeLearner(random_source& random) {
  recovered_state recovered{.incarnation = kLearner.incarnation};
  recovered.state.term = 1;
  recovered.state.formation = cluster_formation{
      .cluster_id = kCluster,
      .membership = {.members = {{.identity = kLeader, .voter = true},
                                 {.identity = kLearner, .voter = false}}}};
  return replica_core({.name = kLearner.name,
                       .configured_names = {kLeader.name},
                       .wanted_voters = 1},
                      std::move(recovered), random, kStart);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_belief_test)

// A learner never campaigns: cut off, it would serve an old state for ever as
// one that has a leader.
BOOST_AUTO_TEST_CASE(a_learner_that_is_cut_off_knows_no_leader) {
  seeded_random_source random(1);
  replica_core learner = MakeLearner(random);
  learner.OnMessage({.from = kLeader,
                     .to_incarnation = kLearner.incarnation,
                     .cluster_id = kCluster,
                     .term = 1,
                     .body = append_request{}},
                    kStart);
  BOOST_REQUIRE(learner.Leader().has_value());
  const duration timeout = replica_options{}.election_timeout;
  learner.OnTick(kStart + timeout / 2);
  BOOST_TEST(learner.Leader().has_value());
  learner.OnTick(kStart + timeout);
  BOOST_TEST(!learner.Leader().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
