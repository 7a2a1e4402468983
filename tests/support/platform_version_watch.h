// Checks at nodes that acknowledged changes of the routing table are in force.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/platform_fleet.h"
#include "support/platform_version_probe.h"

namespace hornbeam {

// Probes each node of a fleet for the newest acknowledged version until it is
// destroyed. Owned by the test; `fleet` outlives it. Thread-safe.
class version_watch {
 public:
  using clock = version_record::clock;

  // By the pages: a change is in force so long after its acknowledgement, and a
  // node counts so long after the last event at it or at the control VMs.
  static constexpr std::chrono::milliseconds kInForce{2000};
  static constexpr std::chrono::milliseconds kInTouch{3000};

  explicit version_watch(platform_fleet& fleet);
  ~version_watch();
  version_watch(const version_watch&) = delete;
  version_watch& operator=(const version_watch&) = delete;

  // Begins to probe the nodes.
  void Start();

  // Tell that something happens now to the control VMs, or to a node.
  void DisturbControl();
  void DisturbNode(std::size_t node);
  // Tells that `version` is acknowledged now.
  void Acknowledge(int version);

  // Returns the probes so far, and those that a node counted for.
  [[nodiscard]] std::size_t Probes() const { return probes_sent_; }
  [[nodiscard]] std::size_t ProbesInTouch() const { return probes_in_touch_; }
  // Returns how many probes found an outdated version at a node that counts.
  [[nodiscard]] std::size_t Stale() const { return stale_; }
  // Returns how long after its acknowledgement a version was last found missing
  // at a node that counts.
  [[nodiscard]] std::chrono::milliseconds Latest() const {
    return std::chrono::milliseconds(latest_ms_);
  }
  // Describes the first stale probes.
  [[nodiscard]] std::vector<std::string> Failures();

 private:
  void ProbeLoop(std::size_t node);
  void Probe(std::size_t node);
  [[nodiscard]] bool IsInTouch(std::size_t node, clock::time_point now);

  platform_fleet& fleet_;
  version_record record_;
  std::mutex mutex_;
  clock::time_point control_disturbed_at_;
  std::vector<clock::time_point> disturbed_at_;
  std::vector<std::string> failures_;
  std::atomic<bool> stopped_ = false;
  std::atomic<std::size_t> stale_ = 0;
  std::atomic<std::size_t> probes_sent_ = 0;
  std::atomic<std::size_t> probes_in_touch_ = 0;
  std::atomic<std::chrono::milliseconds::rep> latest_ms_ = 0;
  std::vector<std::thread> probes_;
};

}  // namespace hornbeam
