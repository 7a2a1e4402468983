// Measures the replicated log with three replicas in one process, on real
// files: commits per second and commit latency by number of proposals in flight
// and payload size, with the time of one synced append for comparison; recovery
// time by length of the log; memory per entry. Prints one JSON object per line.
//
// Usage: replication_bench [DIRECTORY]
// The results depend on the disk that holds DIRECTORY; the default is a new
// directory in the system's temporary directory.
#include <malloc.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/seeded_random_source.h"
#include "base/state_machine.h"
#include "base/system_clock_source.h"
#include "controllers/replica_host.h"
#include "controllers/replica_transport.h"
#include "replication/file_log_storage.h"
#include "replication/replica_log.h"
#include "replication/synced_file.h"

namespace hornbeam {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kSeed = 1;
constexpr std::uint64_t kIncarnation = 1;
constexpr duration kRunTime = std::chrono::seconds(1);
constexpr duration kProposalTimeout = std::chrono::seconds(30);
constexpr int kSyncRounds = 500;
constexpr std::size_t kRecoveryPayload = 256;  // Bytes.
constexpr std::size_t kRecoveryBatch = 1000;   // Entries.
constexpr std::size_t kMemoryEntries = 100000;

void Print(const boost::json::object& line) {
  std::cout << boost::json::serialize(line) << std::endl;
}

// A state machine without state; its replies are empty.
class stateless_machine final : public state_machine {
 public:
  std::string Apply(const committed_entry& /*entry*/) override { return {}; }
  [[nodiscard]] std::string Query(std::string_view /*query*/) const override {
    return {};
  }
  [[nodiscard]] std::string TakeSnapshot() const override { return {}; }
  bool RestoreSnapshot(std::string_view /*snapshot*/) override { return true; }
};

class null_event_log final : public event_log {
 public:
  void Write(event_id /*id*/,
             std::initializer_list<event_field> /*fields*/) override {}
};

// Runs posted tasks on the main thread. Post may be called from any thread.
class task_loop {
 public:
  void Post(std::function<void()> task) {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    posted_.notify_one();
  }
  void RunFor(duration limit) {
    std::unique_lock lock(mutex_);
    posted_.wait_for(lock, limit, [this] { return !tasks_.empty(); });
    std::deque<std::function<void()>> tasks = std::exchange(tasks_, {});
    lock.unlock();
    for (const std::function<void()>& task : tasks) task();
  }

 private:
  std::mutex mutex_;
  std::condition_variable posted_;
  std::deque<std::function<void()>> tasks_;
};

// Three replica hosts that exchange messages through a task loop.
class replica_group {
 public:
  explicit replica_group(const fs::path& directory) {
    for (const std::string& name : names_) Start(name, directory / name);
    while (Leader() == nullptr) RunOnce();
  }

  replica_host* Leader() {
    const auto is_leader = [](const auto& host) {
      return host.second->Status().role == replica_role::kLeader;
    };
    const auto found = std::ranges::find_if(hosts_, is_leader);
    return found == hosts_.end() ? nullptr : found->second.get();
  }
  void RunOnce() {
    loop_.RunFor(kReplicaTickInterval);
    const time_point now = clock_.Now();
    if (now < next_tick_) return;
    next_tick_ = now + kReplicaTickInterval;
    for (auto& [name, host] : hosts_) host->Tick(now);
  }
  [[nodiscard]] const clock_source& Clock() const { return clock_; }

 private:
  class direct_transport final : public replica_transport {
   public:
    direct_transport(replica_group& group, std::string name)
        : group_(group), name_(std::move(name)) {}
    void Send(std::string_view peer, std::string bytes) override {
      group_.loop_.Post(
          [this, to = std::string(peer), bytes = std::move(bytes)] {
            const auto host = group_.hosts_.find(to);
            if (host == group_.hosts_.end()) return;
            host->second->OnMessage(name_, bytes);
          });
    }

   private:
    replica_group& group_;
    const std::string name_;
  };

  void Start(const std::string& name, const fs::path& directory) {
    transports_.push_back(std::make_unique<direct_transport>(*this, name));
    auto storage =
        file_log_storage::MakeFileLogStorage(directory, kIncarnation);
    auto host = replica_host::MakeReplicaHost(
        {.name = name, .configured_names = names_},
        {.machine = std::make_unique<stateless_machine>(),
         .storage = std::move(storage).value(),
         .transport = *transports_.back(),
         .clock = clock_,
         .random = random_,
         .events = events_,
         .post = [this](std::function<void()> task) {
           loop_.Post(std::move(task));
         }});
    hosts_[name] = std::move(host).value();
  }

  const std::vector<std::string> names_{"a", "b", "c"};
  system_clock_source clock_;
  seeded_random_source random_{kSeed};
  null_event_log events_;
  task_loop loop_;
  time_point next_tick_;
  std::vector<std::unique_ptr<direct_transport>> transports_;
  std::map<std::string, std::unique_ptr<replica_host>> hosts_;
};

std::int64_t Percentile(std::vector<std::int64_t>& values, double share) {
  if (values.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values,
                           values.begin() + static_cast<std::ptrdiff_t>(rank));
  return values[rank];
}

// Keeps `in_flight` proposals in flight for kRunTime and prints the results.
class proposal_run {
 public:
  proposal_run(replica_group& group, std::size_t in_flight, std::size_t payload)
      : group_(group), in_flight_(in_flight), command_(payload, 'x') {}

  void Run() {
    const time_point begin = group_.Clock().Now();
    end_ = begin + kRunTime;
    for (std::size_t i = 0; i < in_flight_; ++i) Propose();
    while (waiting_ > 0) group_.RunOnce();
    const double seconds =
        std::chrono::duration<double>(group_.Clock().Now() - begin).count();
    Print({{"measure", "commits"},
           {"in_flight", in_flight_},
           {"payload_bytes", command_.size()},
           {"commits_per_s", static_cast<double>(latencies_.size()) / seconds},
           {"latency_p50_us", Percentile(latencies_, 0.5)},
           {"latency_p99_us", Percentile(latencies_, 0.99)},
           {"failed", failed_}});
  }

 private:
  void Propose() {
    ++waiting_;
    const time_point now = group_.Clock().Now();
    group_.Leader()->Propose(
        command_, now + kProposalTimeout,
        [this, now](const replica_reply& reply) { OnReply(now, reply); });
  }
  void OnReply(time_point proposed, const replica_reply& reply) {
    --waiting_;
    const time_point now = group_.Clock().Now();
    if (reply) {
      latencies_.push_back((now - proposed).count());
    } else {
      ++failed_;
    }
    if (now < end_ && failed_ == 0) Propose();
  }

  replica_group& group_;
  const std::size_t in_flight_;
  const std::string command_;
  time_point end_;
  std::size_t waiting_ = 0;
  std::size_t failed_ = 0;
  std::vector<std::int64_t> latencies_;  // Microseconds.
};

// Measures the time of one append to a file with its sync.
void MeasureSync(const fs::path& directory, std::size_t payload) {
  const system_clock_source clock;
  auto file = synced_file::MakeSyncedFile(directory / "sync", 0);
  const std::string bytes(payload, 'x');
  std::vector<std::int64_t> times;
  for (int i = 0; i < kSyncRounds; ++i) {
    const time_point begin = clock.Now();
    if (!file.value()->Append(bytes)) std::abort();
    times.push_back((clock.Now() - begin).count());
  }
  Print({{"measure", "append_and_sync"},
         {"payload_bytes", payload},
         {"p50_us", Percentile(times, 0.5)},
         {"p99_us", Percentile(times, 0.99)}});
}

void MeasureCommits(const fs::path& directory) {
  replica_group group(directory);
  for (const std::size_t payload : {100U, 1000U, 10000U}) {
    MeasureSync(directory, payload);
    for (const std::size_t in_flight : {1U, 8U, 64U, 512U}) {
      proposal_run(group, in_flight, payload).Run();
    }
  }
}

log_entry MakeEntry(std::uint64_t index) {
  return {.index = index,
          .term = 1,
          .kind = entry_kind::kCommand,
          .command = std::string(kRecoveryPayload, 'x')};
}

void MeasureRecovery(const fs::path& directory, std::size_t entries) {
  const fs::path log = directory / ("recovery-" + std::to_string(entries));
  {
    auto storage = file_log_storage::MakeFileLogStorage(log, kIncarnation);
    if (!storage.value()->Load()) std::abort();
    for (std::size_t first = 0; first < entries; first += kRecoveryBatch) {
      storage_batch batch;
      for (std::size_t i = 1; i <= kRecoveryBatch; ++i) {
        batch.entries.push_back(MakeEntry(first + i));
      }
      if (!storage.value()->Write(batch)) std::abort();
    }
  }
  const system_clock_source clock;
  const time_point begin = clock.Now();
  auto storage = file_log_storage::MakeFileLogStorage(log, kIncarnation);
  const auto recovered = storage.value()->Load();
  if (recovered.value().entries.size() != entries) std::abort();
  Print({{"measure", "recovery"},
         {"entries", entries},
         {"payload_bytes", kRecoveryPayload},
         {"time_ms", (clock.Now() - begin).count() / 1000}});
}

void MeasureMemory() {
  const std::size_t before = ::mallinfo2().uordblks;
  replica_log log;
  for (std::size_t i = 1; i <= kMemoryEntries; ++i) log.Append(MakeEntry(i));
  const std::size_t used = ::mallinfo2().uordblks - before;
  Print({{"measure", "memory"},
         {"payload_bytes", kRecoveryPayload},
         {"bytes_per_entry", used / kMemoryEntries}});
}

int Run(const fs::path& directory) {
  MeasureCommits(directory);
  for (const std::size_t entries : {1000U, 10000U, 100000U}) {
    MeasureRecovery(directory, entries);
  }
  MeasureMemory();
  return 0;
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  std::string directory =
      argc > 1 ? argv[1]
               : (std::filesystem::temp_directory_path() / "replication_XXXXXX")
                     .string();
  if (argc <= 1 && ::mkdtemp(directory.data()) == nullptr) return 1;
  std::filesystem::create_directories(directory);
  const int code = hornbeam::Run(directory);
  if (argc <= 1) std::filesystem::remove_all(directory);
  return code;
}
