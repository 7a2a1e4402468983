// Leader discovery, cluster formation and campaigns of a replica that has no
// leader.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

#include "base/seeded_random_source.h"
#include "replication/replica_core.h"

namespace hornbeam {

namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kClusterId = 7;
const replica_identity kLeader{.name = "leader", .incarnation = 1};
const replica_identity kLearner{.name = "learner", .incarnation = 2};

replica_core MakeLearner(random_source& random) {
  recovered_state recovered{.incarnation = kLearner.incarnation};
  recovered.state.term = 1;
  recovered.state.formation = cluster_formation{
      .cluster_id = kClusterId,
      .membership = {.members = {{.identity = kLeader, .voter = true},
                                 {.identity = kLearner, .voter = false}}}};
  return replica_core({.name = kLearner.name,
                       .configured_names = {kLeader.name},
                       .target_voters = 1},
                      std::move(recovered), random, kStart);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_without_leader_test)

// A learner never campaigns. If a partitioned learner kept its leader, it would
// serve stale state indefinitely.
BOOST_AUTO_TEST_CASE(
    isolated_learner_clears_its_leader_after_election_timeout) {
  seeded_random_source random(1);
  replica_core learner = MakeLearner(random);
  learner.OnMessage({.from = kLeader,
                     .to_incarnation = kLearner.incarnation,
                     .cluster_id = kClusterId,
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

// A delayed hello may arrive after its sender has joined a cluster, so only a
// reply to the current incarnation shows that the other disk is empty.
BOOST_AUTO_TEST_CASE(
    only_hello_replies_to_current_incarnation_allow_cluster_formation) {
  seeded_random_source random(1);
  const replica_identity other{.name = "b", .incarnation = 4};
  replica_core founder({.name = "a", .configured_names = {"a", "b"}},
                       {.incarnation = 3}, random, kStart);
  founder.OnMessage({.from = other, .body = hello_request{}}, kStart);
  founder.OnTick(kStart);
  BOOST_TEST(founder.ClusterId() == 0U);
  founder.OnMessage({.from = other, .to_incarnation = 2, .body = hello_reply{}},
                    kStart);
  founder.OnTick(kStart);
  BOOST_TEST(founder.ClusterId() == 0U);
  founder.OnMessage({.from = other, .to_incarnation = 3, .body = hello_reply{}},
                    kStart);
  founder.OnTick(kStart);
  BOOST_TEST(founder.ClusterId() != 0U);
}

// Campaigns fail while the other voters are still starting, or when the votes
// are split, so the first retries must be soon.
BOOST_AUTO_TEST_CASE(failed_campaigns_are_retried_with_exponential_backoff) {
  const replica_options options{.name = kLearner.name,
                                .configured_names = {kLeader.name}};
  recovered_state recovered{.incarnation = kLearner.incarnation};
  recovered.state.formation = cluster_formation{
      .cluster_id = kClusterId,
      .membership = {.members = {{.identity = kLeader, .voter = true},
                                 {.identity = kLearner, .voter = true}}}};
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    seeded_random_source random(seed);
    replica_core voter(options, recovered, random, kStart);
    std::vector<time_point> campaigns;
    constexpr duration kTick = std::chrono::milliseconds(10);
    for (time_point now = kStart; now < kStart + std::chrono::seconds(20);
         now += kTick) {
      voter.OnTick(now);
      const replica_output output = voter.TakeOutput(now);
      if (output.batch) voter.OnPersisted(now);
      const auto sent = voter.TakeOutput(now).messages;
      const auto is_vote_request = [](const addressed_message& message) {
        return std::holds_alternative<vote_request>(message.message.body);
      };
      if (std::ranges::any_of(output.messages, is_vote_request) ||
          std::ranges::any_of(sent, is_vote_request)) {
        campaigns.push_back(now);
      }
    }
    BOOST_REQUIRE(campaigns.size() > 3U);
    BOOST_TEST(
        (campaigns[0] - kStart <= options.heartbeat_interval * 3 + kTick));
    BOOST_TEST((campaigns[1] - campaigns[0] <=
                options.heartbeat_interval * 2 + kTick));
    // A voter that stays partitioned backs off to the election timeout.
    const auto last = campaigns.size() - 1;
    BOOST_TEST(
        (campaigns[last] - campaigns[last - 1] >= options.election_timeout));
  }
}

// Only the leader can add a replica that is no longer in the membership. A
// replica must send its hello to every reported leader, whatever other replicas
// reply before or after that.
BOOST_AUTO_TEST_CASE(hello_is_sent_to_every_reported_leader) {
  seeded_random_source random(1);
  replica_core learner = MakeLearner(random);
  const auto reply = [&](const std::string& leader_name, time_point now) {
    learner.OnMessage({.from = kLeader,
                       .to_incarnation = kLearner.incarnation,
                       .cluster_id = kClusterId,
                       .body = hello_reply{.leader = leader_name}},
                      now);
  };
  time_point now = kStart + replica_options{}.election_timeout;
  for (const std::vector<std::string>& leader_names :
       {std::vector<std::string>{"newer", ""},
        {"", "newer"},
        {"newer", "older"},
        {"older", "newer"}}) {
    for (const std::string& leader_name : leader_names) reply(leader_name, now);
    now += replica_options{}.heartbeat_interval;
    learner.OnTick(now);
    const auto sent = learner.TakeOutput(now).messages;
    BOOST_TEST(std::ranges::any_of(
        sent, [](const auto& message) { return message.to == "newer"; }));
  }
}

// Guards against a control VM that answers "no leader" for seconds after it was
// suspended: the others have replaced it as voter, so only its hello brings it
// a leader again.
BOOST_AUTO_TEST_CASE(voter_whose_first_campaign_fails_sends_hellos) {
  constexpr duration kTick = std::chrono::milliseconds(10);
  const replica_options options{.name = kLearner.name,
                                .configured_names = {kLeader.name},
                                .target_voters = 3};
  recovered_state recovered{.incarnation = kLearner.incarnation};
  recovered.state.formation = cluster_formation{
      .cluster_id = kClusterId,
      .membership = {.members = {{.identity = kLeader, .voter = true},
                                 {.identity = kLearner, .voter = true}}}};
  seeded_random_source random(1);
  replica_core voter(options, std::move(recovered), random, kStart);
  voter.OnMessage({.from = kLeader,
                   .to_incarnation = kLearner.incarnation,
                   .cluster_id = kClusterId,
                   .term = 1,
                   .body = append_request{}},
                  kStart);
  BOOST_REQUIRE(voter.Leader().has_value());
  const auto is_hello = [](const addressed_message& message) {
    return std::holds_alternative<hello_request>(message.message.body);
  };
  time_point now = kStart;
  bool sent_hello = false;
  while (!sent_hello && now < kStart + 10 * options.election_timeout) {
    now += kTick;
    voter.OnTick(now);
    replica_output output = voter.TakeOutput(now);
    if (output.batch) {
      voter.OnPersisted(now);
      std::ranges::copy(voter.TakeOutput(now).messages,
                        std::back_inserter(output.messages));
    }
    sent_hello = std::ranges::any_of(output.messages, is_hello);
  }
  BOOST_TEST(sent_hello);
  // The first campaign begins after two election timeouts at the latest.
  BOOST_TEST((now - kStart <=
              2 * options.election_timeout + options.heartbeat_interval));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
