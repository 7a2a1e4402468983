#include "support/platform_version_watch.h"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeInterval{25};
// From this number of nodes on each is probed less often.
constexpr std::size_t kFrequentNodes = 8;
constexpr std::size_t kDescribedFailures = 5;

}  // namespace

version_watch::version_watch(platform_fleet& fleet)
    : fleet_(fleet), disturbed_at_(fleet.Nodes()) {}

version_watch::~version_watch() {
  stopped_ = true;
  for (std::thread& each : probes_) each.join();
}

void version_watch::Start() {
  for (std::size_t i = 0; i < fleet_.Nodes(); ++i)
    probes_.emplace_back([this, i] { ProbeLoop(i); });
}

void version_watch::DisturbControl() {
  const std::scoped_lock lock(mutex_);
  control_disturbed_at_ = clock::now();
}

void version_watch::DisturbNode(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  disturbed_at_[node] = clock::now();
}

void version_watch::Acknowledge(int version) { record_.Acknowledge(version); }

std::vector<std::string> version_watch::Failures() {
  const std::scoped_lock lock(mutex_);
  return failures_;
}

bool version_watch::IsInTouch(std::size_t node, clock::time_point now) {
  const std::scoped_lock lock(mutex_);
  return now - control_disturbed_at_ >= kInTouch &&
         now - disturbed_at_[node] >= kInTouch;
}

void version_watch::Probe(std::size_t node) {
  const auto sent = clock::now();
  const int newest = record_.AcknowledgedAt(sent);
  const bool is_in_touch = IsInTouch(node, sent);
  ++probes_sent_;
  if (is_in_touch) ++probes_in_touch_;
  if (!LacksVersion(fleet_.Callers(node), newest) || !is_in_touch) return;
  const auto age =
      std::chrono::duration_cast<milliseconds>(sent - record_.TimeOf(newest));
  const std::scoped_lock lock(mutex_);
  if (latest_ms_ < age.count()) latest_ms_ = age.count();
  if (age < kInForce) return;
  ++stale_;
  if (failures_.size() < kDescribedFailures) {
    failures_.push_back(fmt::format("node {} lacks version {} after {} ms",
                                    node, newest, age.count()));
  }
}

void version_watch::ProbeLoop(std::size_t node) {
  const auto interval =
      kProbeInterval *
      std::max<std::size_t>(1, fleet_.Nodes() / kFrequentNodes);
  while (!stopped_) {
    Probe(node);
    std::this_thread::sleep_for(interval);
  }
}

}  // namespace hornbeam
