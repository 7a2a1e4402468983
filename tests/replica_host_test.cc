// Tests of replica hosts that communicate through an in-memory transport.
#include "controllers/replica_host.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "base/event_log.h"
#include "base/seeded_random_source.h"
#include "controllers/replica_transport.h"
#include "replication/file_log_storage.h"
#include "support/fake_clock_source.h"
#include "support/memory_log_storage.h"
#include "support/recording_state_machine.h"
#include "support/temporary_directory.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::chrono::seconds kTestTimeout{30};
// Long enough never to expire in a test. The fake clock runs a hundred times as
// fast as real time, so a shorter deadline would expire during a slow disk
// sync.
constexpr duration kLongTimeout = std::chrono::hours(24);

class null_event_log final : public event_log {
 public:
  void Write(event_id /*id*/,
             std::initializer_list<event_field> /*fields*/) override {}
};

// Tasks that any thread posts and the test's thread runs.
class task_queue {
 public:
  void Post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  void RunAll() {
    while (const auto task = Take()) (*task)();
  }

 private:
  std::optional<std::function<void()>> Take() {
    const std::lock_guard lock(mutex_);
    if (tasks_.empty()) return std::nullopt;
    auto task = std::move(tasks_.front());
    tasks_.pop_front();
    return task;
  }

  std::mutex mutex_;
  std::deque<std::function<void()>> tasks_;
};

// A group of replica hosts that can be stopped and restarted by name.
class host_group {
 public:
  explicit host_group(std::vector<std::string> names)
      : names_(std::move(names)) {}

  void Start(const std::string& name, std::unique_ptr<log_storage> storage) {
    transports_[name] = std::make_unique<group_transport>(*this, name);
    replica_options options{.name = name, .configured_names = names_};
    options.snapshot_log_bytes = 16384;
    options.retained.entries = 4;
    options.max_snapshot_chunk_bytes = 16;
    auto made = replica_host::MakeReplicaHost(
        std::move(options),
        {.machine = std::make_unique<recording_state_machine>(),
         .storage = std::move(storage),
         .transport = *transports_[name],
         .clock = clock_,
         .random = random_,
         .events = events_,
         .post = [this](std::function<void()> task) {
           tasks_.Post(std::move(task));
         }});
    BOOST_REQUIRE(made.has_value());
    hosts_[name] = std::move(made).value();
  }
  void Stop(const std::string& name) { hosts_.erase(name); }
  replica_host& Host(const std::string& name) { return *hosts_.at(name); }
  std::vector<std::string> Names() const { return names_; }

  // Runs tasks and advances the fake clock until `done` returns true. Fails the
  // test after kTestTimeout.
  void RunUntil(const std::function<bool()>& done) {
    const auto limit = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < limit);
      tasks_.RunAll();
      for (auto& [name, host] : hosts_) host->Tick(clock_.Now());
      clock_.Advance(kReplicaTickInterval);
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }

  std::string Leader() {
    std::string leader;
    RunUntil([&] {
      for (auto& [name, host] : hosts_) {
        if (host->Status().role == replica_role::kLeader) leader = name;
      }
      return !leader.empty();
    });
    return leader;
  }

  replica_reply Propose(const std::string& name, const std::string& command) {
    std::optional<replica_reply> reply;
    Host(name).Propose(
        command, clock_.Now() + kLongTimeout,
        [&](replica_reply received) { reply.emplace(std::move(received)); });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }
  replica_reply Query(const std::string& name) {
    std::optional<replica_reply> reply;
    Host(name).Query(
        {}, clock_.Now() + kLongTimeout,
        [&](replica_reply received) { reply.emplace(std::move(received)); });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

 private:
  class group_transport final : public replica_transport {
   public:
    group_transport(host_group& group, std::string name)
        : group_(group), name_(std::move(name)) {}

    void Send(std::string_view peer, std::string bytes) override {
      // The task captures no `this`: it can outlive the transport when the host
      // is replaced.
      group_.tasks_.Post([&group = group_, from = name_, to = std::string(peer),
                          bytes = std::move(bytes)] {
        const auto host = group.hosts_.find(to);
        if (host == group.hosts_.end()) return;
        if (!group.hosts_.contains(from)) return;
        host->second->OnMessage(from, bytes);
      });
    }

   private:
    host_group& group_;
    const std::string name_;
  };

  const std::vector<std::string> names_;
  fake_clock_source clock_;
  seeded_random_source random_{kSeed};
  null_event_log events_;
  task_queue tasks_;
  std::map<std::string, std::unique_ptr<group_transport>> transports_;
  std::map<std::string, std::unique_ptr<replica_host>> hosts_;
};

std::unique_ptr<log_storage> OpenFileStorage(
    const std::filesystem::path& path) {
  constexpr std::uint64_t kIncarnation = 7;
  auto opened = file_log_storage::MakeFileLogStorage(path, kIncarnation);
  BOOST_REQUIRE(opened.has_value());
  return std::move(opened).value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_host_test)

BOOST_AUTO_TEST_CASE(single_replica_keeps_state_across_restarts) {
  const temporary_directory directory;
  std::string expected;
  for (int start = 0; start < 3; ++start) {
    host_group group({"a"});
    group.Start("a", OpenFileStorage(directory.Path()));
    BOOST_TEST(group.Leader() == "a");
    BOOST_TEST(group.Query("a").value() == expected);
    for (int i = 0; i < 100; ++i) {
      const std::string command = std::to_string(start * 100 + i);
      expected += command + ",";
      BOOST_TEST(group.Propose("a", command).value() == expected);
    }
    group.Stop("a");
  }
}

BOOST_AUTO_TEST_CASE(failed_disk_write_rejects_all_further_requests) {
  memory_disk disk(1);
  auto storage = std::make_unique<memory_log_storage>(disk);
  memory_log_storage& failing = *storage;
  host_group group({"a"});
  group.Start("a", std::move(storage));
  group.Leader();
  BOOST_TEST(group.Propose("a", "x").has_value());
  failing.FailWith({.kind = storage_error_kind::kFull, .detail = "disk full"});
  BOOST_TEST(
      (group.Propose("a", "y").error() == replica_error::kStorageFailed));
  BOOST_TEST((group.Query("a").error() == replica_error::kStorageFailed));
  BOOST_TEST(group.Host("a").Status().storage_fault == "disk full");
}

// Replicas with in-memory disks.
class replica_set {
 public:
  explicit replica_set(std::vector<std::string> names = {"a", "b", "c"})
      : group_(std::move(names)) {
    for (const std::string& name : group_.Names()) StartWithEmptyDisk(name);
  }

  void StartWithEmptyDisk(const std::string& name) {
    disks_.insert_or_assign(name, memory_disk(++last_incarnation_));
    Restart(name);
  }
  void Restart(const std::string& name) {
    const auto& full =
        full_.try_emplace(name, std::make_shared<std::atomic<bool>>(false))
            .first->second;
    group_.Start(name,
                 std::make_unique<memory_log_storage>(disks_.at(name), full));
  }
  void SetFull(const std::string& name, bool full) { *full_.at(name) = full; }
  std::string OtherReplica(const std::string& name) {
    return name == "a" ? "b" : "a";
  }
  // Waits until all replicas are voters with the incarnation of their current
  // disk.
  void WaitUntilAllAreVoters() {
    group_.RunUntil([&] {
      const replica_status status = group_.Host(group_.Leader()).Status();
      const auto is_current = [&](const replica_peer_status& replica) {
        return replica.voter &&
               replica.incarnation ==
                   disks_.at(replica.name).Content().incarnation;
      };
      return status.replicas.size() == group_.Names().size() &&
             std::ranges::all_of(status.replicas, is_current);
    });
  }

  [[nodiscard]] host_group& Group() { return group_; }

 private:
  std::map<std::string, memory_disk> disks_;
  std::map<std::string, std::shared_ptr<std::atomic<bool>>> full_;
  std::uint64_t last_incarnation_ = 0;
  // Declared last, so that the hosts are destroyed before the disks they use.
  host_group group_;
};

// Each round replaces one disk by an empty one and waits until its replica is a
// voter again. The loss of another disk right afterwards must not lose
// committed entries.
BOOST_AUTO_TEST_CASE(second_disk_loss_right_after_repair_loses_no_entries) {
  replica_set three;
  host_group& group = three.Group();
  std::string expected;
  const auto propose = [&](int count) {
    for (int i = 0; i < count; ++i) {
      // The leader may just have stepped down, so the proposal is repeated
      // until it is accepted.
      const std::string command = std::to_string(expected.size());
      while (!group.Propose(group.Leader(), command)) {
      }
      expected += command + ",";
    }
  };
  // Enough entries for a snapshot, so that the repair has to install one.
  propose(200);
  std::string lost = three.OtherReplica(group.Leader());
  for (int round = 0; round < 3; ++round) {
    group.Stop(lost);
    three.StartWithEmptyDisk(lost);
    propose(20);
    three.WaitUntilAllAreVoters();
    BOOST_TEST(group.Query(group.Leader()).value() == expected);
    lost = round == 0 ? group.Leader() : three.OtherReplica(lost);
  }
  group.Stop(lost);
  BOOST_TEST(group.Query(group.Leader()).value() == expected);
}

// Guards against a replica that takes no part any more once its disk was full:
// after the second full disk no change was acknowledged, with room on all.
BOOST_AUTO_TEST_CASE(replicas_take_part_again_after_their_disks_were_full) {
  replica_set three;
  host_group& group = three.Group();
  std::vector<std::string> acknowledged;
  int proposed = 0;
  const auto propose = [&](int count) {
    for (int i = 0; i < count;) {
      const std::string command = "x" + std::to_string(++proposed) + ",";
      if (!group.Propose(group.Leader(), command)) continue;
      acknowledged.push_back(command);
      ++i;
    }
  };
  propose(5);
  for (int round = 0; round < 2; ++round) {
    for (const std::string& name : group.Names()) {
      three.SetFull(name, true);
      propose(5);
      group.RunUntil(
          [&] { return !group.Host(name).Status().storage_fault.empty(); });
      propose(5);
      three.SetFull(name, false);
      group.RunUntil(
          [&] { return group.Host(name).Status().storage_fault.empty(); });
    }
  }
  propose(5);
  const std::string state = group.Query(group.Leader()).value();
  for (const std::string& command : acknowledged) {
    BOOST_TEST(state.find(command) != std::string::npos);
  }
}

// Random disks are full at random times, never so many that no quorum is left.
BOOST_AUTO_TEST_CASE(random_full_disks_lose_no_acknowledged_entry) {
  constexpr int kSeeds = 10;
  constexpr int kSteps = 40;
  for (const std::size_t replicas : {3U, 5U}) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      seeded_random_source random(static_cast<std::uint64_t>(seed));
      const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
      replica_set set(
          {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(replicas)});
      host_group& group = set.Group();
      std::vector<std::string> acknowledged;
      std::set<std::string> full;
      // A cluster is formed only while all disks work.
      BOOST_TEST(group.Propose(group.Leader(), "first,").has_value());
      for (int step = 0; step < kSteps; ++step) {
        const std::string& name = all[random.NextBelow(replicas)];
        if (full.contains(name)) {
          set.SetFull(name, false);
          // Until then it counts as lost.
          group.RunUntil(
              [&] { return group.Host(name).Status().storage_fault.empty(); });
          full.erase(name);
        } else if (full.size() < (replicas - 1) / 2) {
          set.SetFull(name, true);
          full.insert(name);
        }
        const std::string command = std::to_string(step) + ",";
        if (group.Propose(group.Leader(), "x" + command))
          acknowledged.push_back("x" + command);
      }
      for (const std::string& name : full) set.SetFull(name, false);
      while (!group.Propose(group.Leader(), "last")) {
      }
      const std::string state = group.Query(group.Leader()).value();
      BOOST_TEST(acknowledged.size() > static_cast<std::size_t>(kSteps) / 2);
      for (const std::string& command : acknowledged) {
        BOOST_TEST(state.find(command) != std::string::npos,
                   replicas << " replicas, seed " << seed << ": " << command);
      }
    }
  }
}

// Replicas with empty disks must not form a new cluster while a configured
// replica is missing, because that replica may hold committed entries.
BOOST_AUTO_TEST_CASE(empty_disks_do_not_form_cluster_without_missing_replica) {
  replica_set three;
  host_group& group = three.Group();
  BOOST_TEST(group.Propose(group.Leader(), "x").has_value());
  const std::string survivor = group.Leader();
  for (const std::string& name : group.Names()) group.Stop(name);
  for (const std::string& name : group.Names()) {
    if (name != survivor) three.StartWithEmptyDisk(name);
  }
  int rounds = 0;
  group.RunUntil([&] { return ++rounds > 1000; });
  for (const std::string& name : group.Names()) {
    if (name == survivor) continue;
    BOOST_TEST((group.Host(name).Status().role == replica_role::kUnformed));
  }
  // No leader is elected after the survivor restarts either, because a majority
  // of the disks is lost.
  three.Restart(survivor);
  rounds = 0;
  group.RunUntil([&] { return ++rounds > 1000; });
  for (const std::string& name : group.Names()) {
    BOOST_TEST((group.Host(name).Status().role != replica_role::kLeader));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
