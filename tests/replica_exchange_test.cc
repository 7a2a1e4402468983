// Planned exchanges of replicas, each followed by the losses that the group has
// to bear.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/seeded_random_source.h"
#include "support/replica_simulation.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 25;
constexpr int kExchanges = 6;
// A machine that is new or was lost is one that the group has to do without for
// as long.
constexpr seconds kCatchUp{4};
constexpr seconds kHandOver{2};
constexpr seconds kRecovery{15};

struct exchange_options {
  std::size_t replicas = 5;
  std::size_t founders = 3;
  // Replicas that leave, one after the other, before the losses.
  std::size_t leaving = 1;
  bool at_once = false;  // They leave at the same time.
  bool hands_over = true;
};

// One group that goes through a series of exchanges.
class exchange_run {
 public:
  exchange_run(std::uint64_t seed, const exchange_options& options)
      : options_(options),
        random_(seed),
        group_(replica_simulation::MakeOpenGroup(options.replicas,
                                                 options.founders)) {}

  // Returns whether the group bore all losses.
  bool Run() {
    group_->Run(kCatchUp);
    for (int i = 0; i < kExchanges; ++i) {
      if (!Exchange()) return false;
    }
    return group_->Violation().empty();
  }

  [[nodiscard]] const replica_simulation& Group() const { return *group_; }

 private:
  // Exchanges voters, gets a command acknowledged, loses as many disks as the
  // group tolerates, and gets another command acknowledged.
  bool Exchange() {
    std::vector<std::size_t> left;
    const auto voters = Shuffle(group_->Voters());
    if (voters.size() < options_.leaving) return false;
    left.assign(voters.begin(),
                voters.begin() + static_cast<std::ptrdiff_t>(options_.leaving));
    if (options_.at_once) {
      LeaveAll(left);
    } else {
      for (const std::size_t each : left) LeaveAll({each});
    }
    group_->Run(milliseconds(random_.NextBelow(300)));
    if (!group_->Commits(kHandOver)) return false;
    const bool survived = LoseDisks() && group_->Commits(kRecovery);
    // Half of those that left come back with their disks, the others are new.
    for (const std::size_t each : left)
      group_->BringUp(each, random_.NextBelow(2) == 0);
    group_->Run(kCatchUp);
    return survived;
  }

  void LeaveAll(const std::vector<std::size_t>& leaving) {
    if (options_.hands_over)
      for (const std::size_t each : leaving) group_->BeginLeave(each);
    const auto is_ready = [&] {
      return std::ranges::all_of(leaving, [&](std::size_t each) {
        return group_->IsReadyToStop(each);
      });
    };
    for (duration ran{0}; ran < kHandOver; ran += kReplicaTickInterval) {
      if (!options_.hands_over || is_ready()) break;
      group_->Run(kReplicaTickInterval);
    }
    for (const std::size_t each : leaving) group_->TakeDown(each);
  }

  bool LoseDisks() {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < group_->Size(); ++i)
      if (!group_->IsDown(i)) up.push_back(i);
    up = Shuffle(up);
    up.resize((options_.founders - 1) / 2);
    for (const std::size_t each : up) group_->TakeDown(each);
    group_->Run(milliseconds(random_.NextBelow(1500)));
    for (const std::size_t each : up) group_->BringUp(each, true);
    return group_->Violation().empty();
  }

  std::vector<std::size_t> Shuffle(std::vector<std::size_t> items) {
    for (std::size_t i = items.size(); i > 1; --i)
      std::swap(items[i - 1], items[random_.NextBelow(i)]);
    return items;
  }

  const exchange_options options_;
  seeded_random_source random_;
  std::unique_ptr<replica_simulation> group_;
};

// Returns how many seeds did not bear all losses.
int CountFailures(const exchange_options& options) {
  int failures = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    exchange_run run(seed, options);
    const bool survived = run.Run();
    BOOST_TEST(run.Group().Violation() == "", "seed " << seed);
    if (!survived) BOOST_TEST_MESSAGE("seed " << seed << " failed");
    failures += survived ? 0 : 1;
  }
  return failures;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_exchange_test)

// Guard against a planned exchange that leaves the group unable to bear one
// lost disk (review/6): the vote of a replica that stops is handed over first.
BOOST_AUTO_TEST_CASE(group_bears_a_lost_disk_right_after_an_exchange) {
  BOOST_TEST(CountFailures({}) == 0);
}

BOOST_AUTO_TEST_CASE(group_bears_a_lost_disk_right_after_two_exchanges) {
  BOOST_TEST(CountFailures({.replicas = 6, .leaving = 2}) == 0);
}

BOOST_AUTO_TEST_CASE(group_bears_a_lost_disk_after_two_stops_at_once) {
  BOOST_TEST(CountFailures({.replicas = 6, .leaving = 2, .at_once = true}) ==
             0);
}

BOOST_AUTO_TEST_CASE(group_of_five_bears_two_lost_disks_after_two_exchanges) {
  BOOST_TEST(CountFailures({.replicas = 8, .founders = 5, .leaving = 2}) == 0);
}

// The same without a hand-over, which shows that the losses would end the
// group.
BOOST_AUTO_TEST_CASE(group_without_hand_over_does_not_bear_the_loss) {
  BOOST_TEST(CountFailures({.hands_over = false}) > 0);
}

// Without a spare nothing is waited for, and the leadership moves.
BOOST_AUTO_TEST_CASE(leader_without_a_spare_hands_over_its_leadership) {
  replica_simulation group(3, true);
  group.Run(kCatchUp);
  const auto leader = group.Leader();
  BOOST_REQUIRE(leader);
  group.BeginLeave(*leader);
  duration ran{0};
  for (; !group.IsReadyToStop(*leader) && ran < kHandOver;
       ran += kReplicaTickInterval)
    group.Run(kReplicaTickInterval);
  BOOST_TEST((ran < milliseconds(500)));
  group.TakeDown(*leader);
  BOOST_TEST(group.Commits(milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(single_replica_is_ready_to_stop) {
  replica_simulation group(1, true);
  group.Run(kCatchUp);
  BOOST_REQUIRE(group.Leader());
  group.BeginLeave(0);
  BOOST_TEST(group.IsReadyToStop(0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
