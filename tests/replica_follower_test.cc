// Tests of a follower whose replies do not reach the leader.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "base/seeded_random_source.h"
#include "replication/replica_core.h"

namespace hornbeam {

namespace {

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kCluster = 9;
constexpr std::uint64_t kTerm = 2;

const replica_identity kFollower{.name = "b", .incarnation = 22};
const replica_identity kLeader{.name = "a", .incarnation = 11};

log_entry MakeEntry(std::uint64_t index) {
  return {.index = index,
          .term = kTerm,
          .kind = entry_kind::kCommand,
          .command = std::to_string(index)};
}

recovered_state MakeState() {
  recovered_state recovered{.incarnation = kFollower.incarnation};
  recovered.state.term = kTerm;
  recovered.state.formation = cluster_formation{
      .cluster_id = kCluster,
      .membership = {.members = {{.identity = kLeader, .voter = true},
                                 {.identity = kFollower, .voter = true}}}};
  return recovered;
}

// Sends entries 1 to `last` after `commit_index` of them are committed, always
// from the start, as a leader does that has received no reply.
std::vector<std::string> Append(replica_core& core, std::uint64_t last,
                                std::uint64_t commit_index) {
  append_request body{.commit_index = commit_index};
  for (std::uint64_t index = 1; index <= last; ++index) {
    body.entries.push_back(MakeEntry(index));
  }
  core.OnMessage({.from = kLeader,
                  .to_incarnation = kFollower.incarnation,
                  .cluster_id = kCluster,
                  .term = kTerm,
                  .body = body},
                 kStart);
  std::vector<std::string> committed;
  for (const log_entry& entry : core.TakeOutput(kStart).committed) {
    committed.push_back(entry.command);
  }
  return committed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_follower_test)

// Guards against a follower that ignores new entries in a message that begins
// before its commit index: cut off in one direction, it heard its leader for
// seconds and its nodes kept an old routing table.
BOOST_AUTO_TEST_CASE(entries_after_committed_ones_are_taken) {
  seeded_random_source random(1);
  replica_core core({.name = kFollower.name,
                     .configured_names = {kLeader.name, kFollower.name}},
                    MakeState(), random, kStart);
  using names = std::vector<std::string>;
  BOOST_TEST((Append(core, 1, 1) == names{"1"}));
  BOOST_TEST((Append(core, 3, 2) == names{"2"}));
  BOOST_TEST((Append(core, 3, 3) == names{"3"}));
  // A late repetition changes nothing.
  BOOST_TEST(Append(core, 1, 1).empty());
  BOOST_TEST(core.CommitIndex() == 3U);
  BOOST_TEST((Append(core, 5, 5) == names{"4", "5"}));
}

// Guards against a follower that counts as current while it lacks entries that
// the leader has committed, and against readings of other processes.
BOOST_AUTO_TEST_CASE(follower_is_current_once_it_has_all_committed_entries) {
  seeded_random_source random(1);
  replica_core core({.name = kFollower.name,
                     .configured_names = {kLeader.name, kFollower.name}},
                    MakeState(), random, kStart);
  const time_point replied_at = kStart + std::chrono::seconds(1);
  const time_point now = replied_at + std::chrono::seconds(1);
  std::uint64_t reading = 0;
  const auto append = [&](time_point at, std::uint64_t last,
                          std::uint64_t commit_index, std::uint64_t confirmed) {
    append_request body{.commit_index = commit_index,
                        .confirmed_reading = confirmed};
    for (std::uint64_t index = 1; index <= last; ++index) {
      body.entries.push_back(MakeEntry(index));
    }
    core.OnMessage({.from = kLeader,
                    .to_incarnation = kFollower.incarnation,
                    .cluster_id = kCluster,
                    .term = kTerm,
                    .body = body},
                   at);
    for (bool more = true; more;) {
      const replica_output output = core.TakeOutput(at);
      for (const addressed_message& each : output.messages) {
        const auto* reply = std::get_if<append_reply>(&each.message.body);
        if (reply != nullptr) reading = reply->clock_reading;
      }
      more = output.batch.has_value();
      if (more) core.OnPersisted(at);
    }
  };
  append(replied_at, 1, 1, 0);
  const std::uint64_t confirmed = reading;
  BOOST_TEST(confirmed != 0U);
  append(now, 2, 4, confirmed);
  BOOST_TEST((core.CurrentAsOf() == time_point::min()));
  append(now, 4, 4, reading + 1);  // Made by another process.
  BOOST_TEST((core.CurrentAsOf() == time_point::min()));
  append(now, 4, 4, 1);
  BOOST_TEST((core.CurrentAsOf() == time_point::min()));
  append(now, 4, 4, confirmed);
  BOOST_TEST((core.CurrentAsOf() == replied_at));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
