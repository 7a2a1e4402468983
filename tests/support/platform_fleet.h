// Control VMs and nodes of the platform's daemon, any number of each, that a
// test stops, kills and starts again.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/link_cuts.h"
#include "support/port_block.h"
#include "support/temporary_directory.h"

namespace hornbeam {

struct fleet_options {
  std::size_t control_vms = 3;
  std::size_t nodes = 6;
  std::size_t services = 3;
  std::chrono::seconds stop_grace{6};
  std::size_t tolerated_losses = 1;
  // Addresses of control VMs that are gone, which nodes are told before those
  // of the running ones.
  std::size_t gone_control_vms = 0;
};

// The settings are those of deploy/*.ini. Thread-safe: two calls for one
// process wait for each other.
class platform_fleet {
 public:
  explicit platform_fleet(const fleet_options& options);
  ~platform_fleet();
  platform_fleet(const platform_fleet&) = delete;
  platform_fleet& operator=(const platform_fleet&) = delete;

  // One process of the fleet; numbered from 0, control VMs and nodes apart.
  enum class role : std::uint8_t { kControl, kNode };
  struct member {
    role kind = role::kNode;
    std::size_t index = 0;
  };

  // Starts all processes.
  void Start();
  // Adds and starts a control VM with an empty disk; returns its index.
  std::size_t AddControlVm();

  // Ends a process with `signal`, by force after the grace time, waits for
  // `dark` and starts it again.
  void Restart(member which, int signal, std::chrono::milliseconds dark);
  // Ends a process with `signal` for good.
  void Remove(member which, int signal);
  // Ends a control VM by force and starts it with an empty disk after `dark`.
  void LoseDisk(std::size_t control, std::chrono::milliseconds dark);
  // Suspends a process for `time`.
  void Suspend(member which, std::chrono::milliseconds time);
  // Writes the settings anew and tells the process.
  void Reload(member which);

  // Returns the processes that have ended without a signal of the test, by
  // name; each only once.
  std::vector<std::string> TakeUnexpectedEnds();

  // Cuts links of the control VMs.
  [[nodiscard]] link_cuts& Cuts() { return cuts_; }
  // Returns where other control VMs and nodes would reach a gone one.
  [[nodiscard]] std::string GoneHost(std::size_t gone) const;
  [[nodiscard]] std::uint16_t PeersPort() const { return peers_port_; }
  // Returns the log of a process so far.
  [[nodiscard]] std::string Log(member which);

  [[nodiscard]] std::size_t Nodes() const { return options_.nodes; }
  [[nodiscard]] std::vector<std::size_t> RunningControlVms();
  [[nodiscard]] std::string Operators(std::size_t control) const;
  [[nodiscard]] std::string Callers(std::size_t node) const;
  [[nodiscard]] std::string Announcements(std::size_t node) const;
  [[nodiscard]] std::string Upstream(std::size_t node) const;
  [[nodiscard]] std::string Service(std::size_t node) const;

 private:
  struct process {
    member self;
    std::string name;
    bool may_found = false;
    std::mutex mutex;
    std::unique_ptr<child_process> child;
    std::atomic<bool> removed = false;
  };

  process& At(member which);
  void Launch(process& target);
  void LaunchLoop();
  // Ends the process; the caller holds its mutex.
  void End(process& target, int signal) const;
  static std::unique_ptr<process> MakeProcess(member self, bool may_found);
  // Writes the settings file with the control VMs that run now, as the platform
  // does at each start.
  void WriteSettings(const process& target);
  [[nodiscard]] std::string ControlSettings(const process& target);
  [[nodiscard]] std::string NodeSettings(const process& target);
  [[nodiscard]] std::string ControlAddresses();
  [[nodiscard]] std::string PathOf(const process& target,
                                   const std::string& suffix) const;

  const fleet_options options_;
  temporary_directory directory_;
  const std::unique_ptr<port_block> ports_;
  // The same on all machines, which have one loopback address each.
  const std::uint16_t outer_port_;
  const std::uint16_t peers_port_;
  const std::uint16_t local_port_;
  const std::uint16_t announcements_port_;
  const std::uint16_t upstream_port_;
  link_cuts cuts_;
  std::mutex members_mutex_;
  std::vector<std::unique_ptr<process>> controls_;
  std::vector<std::unique_ptr<process>> nodes_;
  // Starts all processes, which end with the thread that started them.
  std::mutex launch_mutex_;
  std::condition_variable launch_changed_;
  std::deque<std::packaged_task<void()>> launches_;
  bool stopped_ = false;
  std::thread launcher_;
};

}  // namespace hornbeam
