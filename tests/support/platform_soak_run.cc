#include "support/platform_soak_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "support/gone_vm.h"
#include "support/platform_fleet.h"
#include "support/platform_soak_upstream.h"
#include "support/platform_version_probe.h"
#include "support/platform_version_watch.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using member = platform_fleet::member;
using role = platform_fleet::role;

// A control VM that was lost or is new counts as lost for as long.
constexpr seconds kCatchUp{4};
constexpr seconds kRecovery{15};
constexpr milliseconds kCallLimit{2500};
// Statuses that promise that the request has not run and never will.
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
constexpr std::array kChangeRefusals = {400, 409, 412, 413, 422};
// What stands at the addresses of control VMs that are gone.
constexpr std::array kGoneKinds = {
    gone_vm::kind::kUnreachable, gone_vm::kind::kSilent,
    gone_vm::kind::kClosing, gone_vm::kind::kUnreachable};

class soak {
 public:
  explicit soak(const soak_options& options)
      : options_(options),
        random_(options.seed),
        fleet_(
            {.nodes = options.nodes, .gone_control_vms = kGoneKinds.size()}) {
    for (std::size_t i = 0; i < kGoneKinds.size(); ++i) {
      gone_.push_back(std::make_unique<gone_vm>(
          kGoneKinds[i], fleet_.GoneHost(i), fleet_.PeersPort()));
    }
  }

  soak_result Run() {
    fleet_.Start();
    upstreams_.reserve(fleet_.Nodes());
    for (std::size_t i = 0; i < fleet_.Nodes(); ++i) {
      upstreams_.push_back(std::make_unique<soak_upstream>(
          record_, fleet_.Upstream(i), fleet_.Announcements(i),
          fleet_.Service(i), options_.seed * 1000 + i));
    }
    if (!ChangeTable(kRecovery) || !AllServicesAnswer())
      record_.Fail("the fleet did not start");
    watch_.DisturbControl();
    watch_.Start();
    RunThreads();
    if (!IsTableReadBack()) record_.Fail("an acknowledged change is lost");
    if (!AllServicesAnswer()) record_.Fail("a service does not come back");
    CheckRejections();
    for (const std::string& each : watch_.Failures()) record_.Fail(each);
    result_.failures = record_.Failures();
    result_.checked_probes = watch_.ProbesInTouch();
    result_.latest_version = watch_.Latest();
    result_.runs = record_.TotalRuns();
    result_.answered = answered_;
    result_.exchanges = exchanges_;
    result_.restarts = restarts_;
    result_.cuts = cuts_;
    return result_;
  }

 private:
  // A source of its own for each thread, so that a seed gives each the same
  // choices.
  std::uint64_t NextSeed() { return random_.Next(); }

  void RunThreads() {
    std::vector<std::thread> threads;
    constexpr std::size_t kOtherThreads = 5;
    threads.reserve(options_.callers + options_.fault_threads + kOtherThreads);
    for (std::size_t i = 0; i < options_.callers; ++i)
      threads.emplace_back([this, seed = NextSeed()] { CallLoop(seed); });
    for (std::size_t i = 0; i < options_.fault_threads; ++i)
      threads.emplace_back([this, seed = NextSeed()] { NodeFaults(seed); });
    threads.emplace_back([this, seed = NextSeed()] { ControlFaults(seed); });
    threads.emplace_back([this, seed = NextSeed()] { Upstreams(seed); });
    threads.emplace_back([this, seed = NextSeed()] { Upstreams(seed); });
    threads.emplace_back([this] { Changes(); });
    threads.emplace_back([this] { WatchEnds(); });
    std::this_thread::sleep_for(options_.time);
    stopped_ = true;
    for (std::thread& each : threads) each.join();
  }

  // ---- Callers ----

  struct sent_request {
    std::string id;
    int status = 0;
  };

  [[nodiscard]] std::string Fields(const std::string& id,
                                   std::size_t service) const {
    return fmt::format(
        "Host: s{}.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 1500\r\n",
        service, id);
  }

  // Keeps its connection until it ends, also while the node drains.
  void CallLoop(std::uint64_t seed) {
    seeded_random_source random(seed);
    std::unique_ptr<platform_connection> connection;
    while (!stopped_) {
      if (!connection) {
        connection = std::make_unique<platform_connection>(
            fleet_.Callers(random.NextBelow(fleet_.Nodes())));
        connection->SetTimeLimit(kCallLimit);
      }
      const std::string id = fmt::format("{:016x}", random.Next());
      const bool is_odd = random.NextBelow(50) == 0;
      const platform_answer answer = connection->Call(
          is_odd ? "TRACE" : "POST", "/job/x",
          Fields(id, random.NextBelow(kServices)), is_odd ? "odd" : "");
      Check(id, answer);
      const bool ends =
          answer.status == 0 ||
          answer.head.find("Connection: close") != std::string::npos;
      if (ends) connection.reset();
      std::this_thread::sleep_for(milliseconds(random.NextBelow(40)));
    }
  }

  void Check(const std::string& id, const platform_answer& answer) {
    if (answer.status == 200) {
      ++answered_;
      const bool is_whole = answer.body == "done " + id;
      if (!is_whole || !answer.IsOfUpstream() || record_.Runs(id) != 1)
        record_.Fail("not the answer of its request: " + id);
    }
    const bool promises = std::ranges::find(kNotRunStatuses, answer.status) !=
                          kNotRunStatuses.end();
    if (!promises) return;
    const std::scoped_lock lock(mutex_);
    rejected_.push_back(id);
  }

  // A promise holds for good, so it is checked in the end.
  void CheckRejections() {
    for (const std::string& id : rejected_)
      if (record_.Runs(id) > 0) record_.Fail("rejected and run: " + id);
  }

  bool AllServicesAnswer() {
    const auto answers = [this](std::size_t service) {
      platform_connection caller(fleet_.Callers(last_probe_ % fleet_.Nodes()));
      caller.SetTimeLimit(kCallLimit);
      const std::string id = fmt::format("probe-{}", ++last_probe_);
      return caller.Call("POST", "/job/x", Fields(id, service)).status == 200;
    };
    for (std::size_t service = 0; service < kServices; ++service)
      if (!WaitUntil([&] { return answers(service); }, kRecovery)) return false;
    return true;
  }

  // ---- Faults and planned work ----

  static milliseconds Between(seeded_random_source& random, int low, int high) {
    return milliseconds(low + static_cast<int>(random.NextBelow(
                                  static_cast<std::uint64_t>(high - low))));
  }

  void NodeFaults(std::uint64_t seed) {
    seeded_random_source random(seed);
    while (!stopped_) {
      const member node{role::kNode, random.NextBelow(fleet_.Nodes())};
      watch_.DisturbNode(node.index);
      switch (random.NextBelow(5)) {
        case 0:
        case 1:
          fleet_.Restart(node, SIGTERM, Between(random, 0, 300));
          ++restarts_;
          break;
        case 2:
          fleet_.Restart(node, SIGKILL, Between(random, 0, 300));
          ++restarts_;
          break;
        case 3:
          fleet_.Suspend(node, Between(random, 50, 1500));
          break;
        default:
          fleet_.Reload(node);
      }
      watch_.DisturbNode(node.index);
      std::this_thread::sleep_for(Between(random, 50, 800));
    }
  }

  // One control VM at a time is lost, as the pages allow.
  void ControlFaults(std::uint64_t seed) {
    seeded_random_source random(seed);
    while (!stopped_) {
      std::this_thread::sleep_for(Between(random, 100, 1000));
      const auto running = fleet_.RunningControlVms();
      const std::size_t chosen = running[random.NextBelow(running.size())];
      const member control{role::kControl, chosen};
      watch_.DisturbControl();
      switch (random.NextBelow(6)) {
        case 0:
          fleet_.Restart(control, SIGTERM, Between(random, 0, 500));
          ++restarts_;
          break;
        case 1:
          fleet_.Restart(control, SIGKILL, Between(random, 0, 500));
          ++restarts_;
          break;
        case 2:
          fleet_.Suspend(control, Between(random, 100, 6000));
          break;
        case 3:
        case 4:
          CutOff(chosen, random);
          break;
        default:
          ExchangeControl(random);
      }
      watch_.DisturbControl();
      std::this_thread::sleep_for(kCatchUp);
    }
  }

  // Cuts the links of a control VM to others, to nodes or to both, in one
  // direction or both.
  void CutOff(std::size_t control, seeded_random_source& random) {
    constexpr std::uint64_t kKinds = 16;
    const auto bits = static_cast<unsigned>(1 + random.NextBelow(kKinds - 1));
    fleet_.Cuts().Cut(control, bits);
    ++cuts_;
    std::this_thread::sleep_for(Between(random, 1000, 7000));
    fleet_.Cuts().Heal(control);
  }

  // A planned exchange, and a lost disk or a cut right after it.
  void ExchangeControl(seeded_random_source& random) {
    const auto old = fleet_.RunningControlVms();
    fleet_.AddControlVm();
    watch_.DisturbControl();
    std::this_thread::sleep_for(kCatchUp);
    const std::size_t leaving = random.NextBelow(old.size());
    watch_.DisturbControl();
    fleet_.Remove({role::kControl, old[leaving]}, SIGTERM);
    watch_.DisturbControl();
    ++exchanges_;
    const std::uint64_t next_fault = random.NextBelow(3);
    if (next_fault == 0) return;
    std::this_thread::sleep_for(Between(random, 0, 300));
    const std::size_t next = old[(leaving + 1) % old.size()];
    watch_.DisturbControl();
    if (next_fault == 1) {
      CutOff(next, random);
    } else {
      fleet_.LoseDisk(next, Between(random, 0, 1500));
    }
  }

  void Upstreams(std::uint64_t seed) {
    seeded_random_source random(seed);
    while (!stopped_) {
      soak_upstream& chosen = *upstreams_[random.NextBelow(upstreams_.size())];
      if (random.NextBelow(4) == 0) {
        chosen.Exchange(Between(random, 500, 4000));
      } else {
        chosen.RepeatReport();
      }
      std::this_thread::sleep_for(Between(random, 20, 300));
    }
  }

  void WatchEnds() {
    while (!stopped_) {
      for (const std::string& each : fleet_.TakeUnexpectedEnds())
        record_.Fail("ended by itself: " + each);
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  // ---- The routing table ----

  // Sends the next version again and again until it is acknowledged.
  bool ChangeTable(milliseconds limit) {
    const std::string table =
        version_record::Table(acknowledged_ + 1, acknowledged_, kServices);
    const auto until = soak_record::clock::now() + limit;
    for (std::size_t tries = 0; soak_record::clock::now() < until; ++tries) {
      const auto running = fleet_.RunningControlVms();
      platform_connection control(
          fleet_.Operators(running[tries % running.size()]));
      control.SetTimeLimit(milliseconds(1000));
      const int status =
          control
              .Call("POST", "/hornbeamlb/Config.Replace",
                    "Host: control\r\nContent-Type: application/json\r\n",
                    table)
              .status;
      if (status == 200) {
        watch_.Acknowledge(++acknowledged_);
        ++result_.changes;
        return true;
      }
      const bool is_refused =
          std::ranges::find(kChangeRefusals, status) != kChangeRefusals.end();
      if (is_refused) {
        record_.Fail(
            fmt::format("a proper change was refused with {}", status));
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  void Changes() {
    while (!stopped_) {
      if (!ChangeTable(kRecovery + kRecovery) && !stopped_)
        record_.Fail("a change was not acknowledged within 30 s");
      std::this_thread::sleep_for(milliseconds(300));
    }
  }

  bool IsTableReadBack() {
    const std::string wanted = fmt::format("\"r{}\"", acknowledged_);
    return WaitUntil(
        [&] {
          return std::ranges::any_of(
              fleet_.RunningControlVms(), [&](std::size_t control) {
                platform_connection reader(fleet_.Operators(control));
                reader.SetTimeLimit(milliseconds(1000));
                const platform_answer answer = reader.Call(
                    "GET", "/hornbeamlb/Config.Get", "Host: control\r\n");
                return answer.status == 200 &&
                       answer.body.find(wanted) != std::string::npos;
              });
        },
        kRecovery);
  }

  static constexpr std::size_t kServices = 3;

  const soak_options options_;
  seeded_random_source random_;
  soak_record record_;
  platform_fleet fleet_;
  std::vector<std::unique_ptr<gone_vm>> gone_;
  version_watch watch_{fleet_};
  std::vector<std::unique_ptr<soak_upstream>> upstreams_;
  soak_result result_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> answered_ = 0;
  std::atomic<std::size_t> exchanges_ = 0;
  std::atomic<std::size_t> restarts_ = 0;
  std::atomic<std::size_t> cuts_ = 0;
  int acknowledged_ = 0;
  std::size_t last_probe_ = 0;
  std::mutex mutex_;
  std::vector<std::string> rejected_;
};

}  // namespace

soak_result RunSoak(const soak_options& options) { return soak(options).Run(); }

}  // namespace hornbeam
