// Replica hosts over a transport in memory.
#include "controllers/replica_host.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "base/event_log.h"
#include "base/seeded_random_source.h"
#include "controllers/replica_transport.h"
#include "replication/file_log_storage.h"
#include "support/fake_clock_source.h"
#include "support/memory_log_storage.h"
#include "support/recording_state_machine.h"
#include "support/temporary_folder.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::chrono::seconds kGenerousLimit{30};
// The fake clock runs a hundred times as fast as the disk's time: a deadline in
// it must not decide what a slow sync does.
constexpr duration kNeverInTest = std::chrono::hours(24);

class silent_event_log final : public event_log {
 public:
  void Write(event_id /*id*/,
             std::initializer_list<event_field> /*fields*/) override {}
};

// Tasks for the test's own thread, posted from any.
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

// Hosts by name, which can be taken away and put back.
class host_group {
 public:
  explicit host_group(std::vector<std::string> names)
      : names_(std::move(names)) {}

  void Start(const std::string& name, std::unique_ptr<log_storage> storage) {
    transports_[name] = std::make_unique<group_transport>(*this, name);
    replica_options options{.name = name, .configured_names = names_};
    options.snapshot_log_bytes = 16384;
    options.retained_entries = 4;
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

  // Lets time pass until `done`.
  void RunUntil(const std::function<bool()>& done) {
    const auto limit = std::chrono::steady_clock::now() + kGenerousLimit;
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
        command, clock_.Now() + kNeverInTest,
        [&](replica_reply given) { reply.emplace(std::move(given)); });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }
  replica_reply Query(const std::string& name) {
    std::optional<replica_reply> reply;
    Host(name).Query({}, clock_.Now() + kNeverInTest, [&](replica_reply given) {
      reply.emplace(std::move(given));
    });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

 private:
  class group_transport final : public replica_transport {
   public:
    group_transport(host_group& group, std::string name)
        : group_(group), name_(std::move(name)) {}

    void Send(std::string_view peer, std::string bytes) override {
      // The message outlives a transport whose host is replaced.
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
  silent_event_log events_;
  task_queue tasks_;
  std::map<std::string, std::unique_ptr<group_transport>> transports_;
  std::map<std::string, std::unique_ptr<replica_host>> hosts_;
};

std::unique_ptr<log_storage> OpenFolder(const std::filesystem::path& path) {
  constexpr std::uint64_t kIncarnation = 7;
  auto opened = file_log_storage::MakeFileLogStorage(path, kIncarnation);
  BOOST_REQUIRE(opened.has_value());
  return std::move(opened).value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_host_test)

BOOST_AUTO_TEST_CASE(a_single_replica_keeps_its_state_over_restarts) {
  const temporary_folder folder;
  std::string expected;
  for (int start = 0; start < 3; ++start) {
    host_group group({"a"});
    group.Start("a", OpenFolder(folder.Path()));
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

BOOST_AUTO_TEST_CASE(a_failed_disk_ends_acceptance_for_good) {
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

// Three replicas on disks in memory.
class three_hosts {
 public:
  three_hosts() {
    for (const std::string& name : group_.Names()) StartWithEmptyDisk(name);
  }

  void StartWithEmptyDisk(const std::string& name) {
    disks_.insert_or_assign(name, memory_disk(++last_incarnation_));
    Restart(name);
  }
  void Restart(const std::string& name) {
    group_.Start(name, std::make_unique<memory_log_storage>(disks_.at(name)));
  }
  std::string AnotherThan(const std::string& name) {
    return name == "a" ? "b" : "a";
  }
  // Until all replicas are voters, none of them under an old identity.
  void WaitUntilWhole() {
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
  std::uint64_t last_incarnation_ = 0;
  host_group group_{{"a", "b", "c"}};  // Last: uses the disks until it ends.
};

BOOST_AUTO_TEST_CASE(a_second_loss_right_after_a_repair_loses_nothing) {
  three_hosts three;
  host_group& group = three.Group();
  std::string expected;
  const auto propose = [&](int count) {
    for (int i = 0; i < count; ++i) {
      // A leader may just have stepped down: repeat what was not accepted.
      const std::string command = std::to_string(expected.size());
      while (!group.Propose(group.Leader(), command)) {
      }
      expected += command + ",";
    }
  };
  propose(200);  // Beyond a snapshot, so that the repair has to install one.
  std::string lost = three.AnotherThan(group.Leader());
  for (int round = 0; round < 3; ++round) {
    group.Stop(lost);
    three.StartWithEmptyDisk(lost);
    propose(20);
    three.WaitUntilWhole();
    BOOST_TEST(group.Query(group.Leader()).value() == expected);
    lost = round == 0 ? group.Leader() : three.AnotherThan(lost);
  }
  group.Stop(lost);
  BOOST_TEST(group.Query(group.Leader()).value() == expected);
}

BOOST_AUTO_TEST_CASE(empty_disks_form_nothing_while_a_replica_is_missing) {
  three_hosts three;
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
  // Nor when the survivor is back: a majority of the disks is gone.
  three.Restart(survivor);
  rounds = 0;
  group.RunUntil([&] { return ++rounds > 1000; });
  for (const std::string& name : group.Names()) {
    BOOST_TEST((group.Host(name).Status().role != replica_role::kLeader));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
