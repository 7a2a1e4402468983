// Whether a replica knows how current its committed entries are when links
// between replicas fail in one direction.
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/seeded_random_source.h"
#include "replication/replica_core.h"
#include "support/memory_log_storage.h"

namespace hornbeam {

namespace {

constexpr std::size_t kReplicas = 3;
constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kProposeInterval = std::chrono::milliseconds(50);
constexpr duration kHeartbeat = std::chrono::milliseconds(150);
constexpr duration kElectionTimeout = std::chrono::milliseconds(700);

// Replicas on one clock. A message takes one tick, unless its link is cut, and
// a write none. Records which entries had been acknowledged at what time.
class linked_replicas {
 public:
  explicit linked_replicas(std::uint64_t seed) : random_(seed) {
    storage_batch batch;
    auto& formation = batch.state.emplace().formation.emplace();
    formation.cluster_id = 1;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      names_.push_back(std::string(1, static_cast<char>('a' + i)));
      formation.membership.members.push_back(
          {.identity = {.name = names_[i], .incarnation = i + 1},
           .voter = true});
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      disks_.emplace_back(i + 1).Write(batch);
      cores_.emplace_back(replica_options{.name = names_[i],
                                          .configured_names = names_,
                                          .heartbeat_interval = kHeartbeat,
                                          .election_timeout = kElectionTimeout},
                          disks_[i].Recover(), random_, now_);
    }
  }

  void Cut(std::size_t from, std::size_t to) { cut_.insert({from, to}); }
  void JoinAll() { cut_.clear(); }

  void RunFor(duration time) {
    for (const time_point end = now_ + time; now_ < end;) Tick();
  }

  [[nodiscard]] std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (cores_[i].Role() == replica_role::kLeader) return i;
    }
    return std::nullopt;
  }
  [[nodiscard]] duration Age(std::size_t at) const {
    return now_ - cores_[at].CurrentAsOf();
  }
  [[nodiscard]] const std::string& Violation() const { return violation_; }
  [[nodiscard]] std::uint64_t Acknowledged() const { return acknowledged_; }
  seeded_random_source& Random() { return random_; }

 private:
  struct sent_message {
    std::size_t from = 0;
    addressed_message sent;
  };

  void Tick() {
    now_ += kTick;
    acknowledged_at_[now_] = acknowledged_;
    const auto arriving = std::exchange(messages_, {});
    for (const sent_message& each : arriving) {
      const std::size_t to = each.sent.to.front() - 'a';
      if (cut_.contains({each.from, to})) continue;
      cores_[to].OnMessage(each.sent.message, now_);
      Collect(to);
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      cores_[i].OnTick(now_);
      Collect(i);
    }
    if (now_ >= next_proposal_) {
      next_proposal_ = now_ + kProposeInterval;
      for (std::size_t i = 0; i < kReplicas; ++i) {
        const auto position = cores_[i].Propose("x", {});
        if (position) proposed_[position.value()] = i;
        Collect(i);
      }
    }
    for (std::size_t i = 0; i < kReplicas; ++i) CheckCurrency(i);
  }

  void Collect(std::size_t at) {
    for (bool more = true; more;) {
      replica_output output = cores_[at].TakeOutput(now_);
      for (addressed_message& each : output.messages) {
        messages_.push_back({.from = at, .sent = std::move(each)});
      }
      for (const log_entry& entry : output.committed) {
        const auto found =
            proposed_.find({.term = entry.term, .index = entry.index});
        if (found == proposed_.end() || found->second != at) continue;
        acknowledged_ = std::max(acknowledged_, entry.index);
      }
      more = output.batch.has_value();
      if (!more) continue;
      disks_[at].Write(*output.batch);
      cores_[at].OnPersisted(now_);
    }
  }

  void CheckCurrency(std::size_t at) {
    const time_point as_of = cores_[at].CurrentAsOf();
    auto known = acknowledged_at_.upper_bound(as_of);
    if (known == acknowledged_at_.begin()) return;
    --known;
    if (cores_[at].CommitIndex() >= known->second) return;
    if (violation_.empty()) {
      violation_ = names_[at] + " has " +
                   std::to_string(cores_[at].CommitIndex()) + " and lacks " +
                   std::to_string(known->second);
    }
  }

  seeded_random_source random_;
  time_point now_{std::chrono::hours(1)};
  time_point next_proposal_;
  std::vector<std::string> names_;
  std::deque<memory_disk> disks_;
  std::deque<replica_core> cores_;
  std::vector<sent_message> messages_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::map<log_position, std::size_t> proposed_;
  // Highest acknowledged index at the beginning of each tick.
  std::map<time_point, std::uint64_t> acknowledged_at_;
  std::uint64_t acknowledged_ = 0;
  std::string violation_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_currency_test)

// Guards against a control VM that takes a known leader for a current table:
// cut off in one direction, it served its nodes an old one for over two
// seconds.
BOOST_AUTO_TEST_CASE(one_way_cut_does_not_leave_an_old_table_current) {
  for (std::size_t from = 0; from < kReplicas; ++from) {
    for (std::size_t to = 0; to < kReplicas; ++to) {
      if (from == to) continue;
      linked_replicas group(1);
      group.RunFor(std::chrono::seconds(3));
      group.Cut(from, to);
      group.RunFor(std::chrono::seconds(5));
      group.JoinAll();
      group.RunFor(std::chrono::seconds(3));
      BOOST_TEST(group.Violation() == "",
                 from << " to " << to << ": " << group.Violation());
      BOOST_TEST(group.Acknowledged() > 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(random_one_way_cuts_do_not_leave_an_old_table_current) {
  constexpr int kSchedules = 200;
  constexpr int kSteps = 12;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    linked_replicas group(static_cast<std::uint64_t>(seed));
    for (int step = 0; step < kSteps; ++step) {
      if (group.Random().NextBelow(3) == 0) group.JoinAll();
      group.Cut(group.Random().NextBelow(kReplicas),
                group.Random().NextBelow(kReplicas));
      group.RunFor(std::chrono::milliseconds(group.Random().NextBelow(1500)));
    }
    BOOST_TEST(group.Violation() == "", seed << ": " << group.Violation());
  }
}

// Guards against a reading that counts for a round that began before it: others
// may have replied to that round and then elected another leader, which had a
// change acknowledged before the reading was made.
BOOST_AUTO_TEST_CASE(clock_reading_is_confirmed_by_a_later_round_only) {
  constexpr std::uint64_t kReading = 77;
  const time_point start{std::chrono::hours(1)};
  recovered_state recovered{.incarnation = 1};
  auto& formation = recovered.state.formation.emplace();
  formation.cluster_id = 1;
  const std::vector<std::string> names = {"a", "b", "c", "d", "e"};
  for (const std::string& name : names) {
    formation.membership.members.push_back(
        {.identity = {.name = name, .incarnation = 1}, .voter = true});
  }
  seeded_random_source random(1);
  replica_core leader({.name = "a",
                       .configured_names = names,
                       .heartbeat_interval = kHeartbeat,
                       .election_timeout = kElectionTimeout},
                      std::move(recovered), random, start);
  time_point now = start;
  std::uint64_t round = 0;
  std::uint64_t last_index = 0;
  std::uint64_t confirmed = 0;  // As last sent to b.
  const auto collect = [&] {
    for (bool more = true; more;) {
      const replica_output output = leader.TakeOutput(now);
      for (const addressed_message& each : output.messages) {
        const auto* sent = std::get_if<append_request>(&each.message.body);
        if (sent == nullptr || each.to != "b") continue;
        round = sent->read_sequence;
        last_index = sent->previous.index + sent->entries.size();
        confirmed = sent->confirmed_reading;
      }
      more = output.batch.has_value();
      if (more) leader.OnPersisted(now);
    }
  };
  const auto receive = [&](const std::string& from, replica_message_body body) {
    leader.OnMessage({.from = {.name = from, .incarnation = 1},
                      .to_incarnation = 1,
                      .cluster_id = 1,
                      .term = leader.Term(),
                      .body = std::move(body)},
                     now);
    collect();
  };
  const auto reply = [&](const std::string& from, std::uint64_t reading) {
    receive(from, append_reply{.accepted = true,
                               .index = last_index,
                               .read_sequence = round,
                               .clock_reading = reading});
  };
  const auto next_round = [&] {
    now += kHeartbeat;
    leader.OnTick(now);
    collect();
  };
  now += 2 * kElectionTimeout;
  leader.OnTick(now);
  collect();
  for (const bool pre_vote : {true, false}) {
    for (const std::string from : {"b", "c"}) {
      receive(from,
              vote_reply{.pre_vote = pre_vote,
                         .requested_term = leader.Term() + (pre_vote ? 1U : 0U),
                         .granted = true});
    }
  }
  BOOST_REQUIRE((leader.Role() == replica_role::kLeader));
  next_round();
  reply("c", 1);
  reply("d", 1);  // The entry of this term is committed.
  next_round();
  reply("c", 1);
  reply("b", kReading);  // A quorum has replied to this round.
  next_round();
  BOOST_TEST(confirmed == 0U);
  reply("b", kReading + 1);
  next_round();
  BOOST_TEST(confirmed == 0U);
  reply("c", 1);
  reply("d", 1);
  next_round();
  BOOST_TEST(confirmed == kReading + 1);
}

// A leader's followers prove their currency with its heartbeats, without
// messages of their own.
BOOST_AUTO_TEST_CASE(connected_replicas_stay_current_and_a_cut_one_does_not) {
  linked_replicas group(1);
  group.RunFor(std::chrono::seconds(3));
  for (int round = 0; round < 100; ++round) {
    group.RunFor(kTick);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      BOOST_TEST((group.Age(i) <= 3 * kHeartbeat + 4 * kTick));
    }
  }
  const std::size_t leader = *group.Leader();
  const std::size_t follower = (leader + 1) % kReplicas;
  group.Cut(follower, leader);
  const duration cut_for = std::chrono::milliseconds(1200);
  group.RunFor(cut_for);
  BOOST_TEST((group.Age(follower) >= cut_for - kTick));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
