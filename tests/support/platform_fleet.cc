#include "support/platform_fleet.h"

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "support/platform_settings.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

std::string Host(std::uint32_t network, std::size_t index) {
  return fmt::format("127.{}.{}.{}", network, index / kHostsPerNetwork,
                     1 + index % kHostsPerNetwork);
}

std::string Address(std::uint32_t network, std::size_t index,
                    std::uint16_t port) {
  return fmt::format("{}:{}", Host(network, index), port);
}

// Returns whether the process blocks or catches SIGHUP, by its status file.
bool HandlesHangUp(const child_process& child) {
  std::ifstream status(fmt::format("/proc/{}/status", child.Pid()));
  constexpr std::uint64_t kHangUp = std::uint64_t{1} << (SIGHUP - 1);
  std::string line;
  while (std::getline(status, line)) {
    const bool is_mask =
        line.starts_with("SigBlk:") || line.starts_with("SigCgt:");
    if (!is_mask) continue;
    if ((std::stoull(line.substr(7), nullptr, 16) & kHangUp) != 0) return true;
  }
  return false;
}

constexpr std::uint32_t kNodeNetwork = 2;
constexpr std::uint32_t kGoneNetwork = 3;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kZones = 3;
constexpr const char* kLeaseLimits =
    "lease_interval_ms = 1000\nlease_duration_ms = 4000\n";
constexpr const char* kNodeLimits =
    "request_body_bytes = 67108864\nreceiving_body_bytes = 33554432\n"
    "idle_timeout_ms = 20000\nheader_timeout_ms = 10000\n"
    "drain_timeout_ms = 5600\npeer_silence_timeout_ms = 400\n";

std::string Zone(std::size_t index) {
  return fmt::format("z{}", index % kZones);
}

}  // namespace

platform_fleet::platform_fleet(const fleet_options& options)
    : options_(options),
      ports_(port_block::MakePortBlock()),
      outer_port_(ports_->NextPort()),
      peers_port_(ports_->NextPort()),
      local_port_(ports_->NextPort()),
      announcements_port_(ports_->NextPort()),
      upstream_port_(ports_->NextPort()),
      cuts_(directory_.Path() / "cuts", peers_port_),
      launcher_([this] { LaunchLoop(); }) {
  for (std::size_t i = 0; i < options_.control_vms; ++i)
    controls_.push_back(MakeProcess({role::kControl, i}, true));
  for (std::size_t i = 0; i < options_.nodes; ++i)
    nodes_.push_back(MakeProcess({role::kNode, i}, false));
}

platform_fleet::~platform_fleet() {
  for (auto* group : {&nodes_, &controls_})
    for (const auto& each : *group)
      if (each->child) each->child->Kill();
  {
    const std::scoped_lock lock(launch_mutex_);
    stopped_ = true;
  }
  launch_changed_.notify_all();
  launcher_.join();
}

std::string platform_fleet::Operators(std::size_t control) const {
  return Address(kControlNetwork, control, outer_port_);
}
std::string platform_fleet::Callers(std::size_t node) const {
  return Address(kNodeNetwork, node, outer_port_);
}
std::string platform_fleet::Announcements(std::size_t node) const {
  return Address(kNodeNetwork, node, announcements_port_);
}
std::string platform_fleet::Upstream(std::size_t node) const {
  return Address(kNodeNetwork, node, upstream_port_);
}
std::string platform_fleet::GoneHost(std::size_t gone) const {
  return Host(kGoneNetwork, gone);
}

std::string platform_fleet::Log(member which) {
  std::ifstream file(PathOf(At(which), ".out"));
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string platform_fleet::Service(std::size_t node) const {
  return fmt::format("s{}", node % options_.services);
}

std::string platform_fleet::ControlAddresses() {
  auto running = RunningControlVms();
  running.resize(std::min(kSeeds, running.size()));
  std::string addresses;
  for (const std::size_t each : running)
    addresses += (addresses.empty() ? "" : ",") + Operators(each);
  return addresses;
}

std::string platform_fleet::PathOf(const process& target,
                                   const std::string& suffix) const {
  return (directory_.Path() / (target.name + suffix)).string();
}

std::unique_ptr<platform_fleet::process> platform_fleet::MakeProcess(
    member self, bool may_found) {
  auto made = std::make_unique<process>();
  made->self = self;
  made->may_found = may_found;
  made->name = fmt::format(
      "{}-{}", self.kind == role::kControl ? "control" : "node", self.index);
  return made;
}

std::string platform_fleet::ControlSettings(const process& target) {
  const std::size_t index = target.self.index;
  const std::string data = PathOf(target, "-data");
  std::filesystem::create_directory(data);
  return FormatSettings(platform_control_settings{
      .name = target.name,
      .zone = Zone(index),
      .peers = Address(kControlNetwork, index, peers_port_),
      .local = Address(kControlNetwork, index, local_port_),
      .operators = Operators(index),
      .control_addresses = ControlAddresses(),
      .peers_port = std::to_string(peers_port_),
      .may_found = target.may_found,
      .tolerated_losses = options_.tolerated_losses,
      .data_folder = data,
      .limits = kLeaseLimits});
}

std::string platform_fleet::NodeSettings(const process& target) {
  const std::size_t index = target.self.index;
  std::string addresses;
  for (std::size_t i = 0; i < options_.gone_control_vms; ++i)
    addresses += Address(kGoneNetwork, i, outer_port_) + ",";
  return FormatSettings(platform_node_settings{
      .name = target.name,
      .zone = Zone(index),
      .service = Service(index),
      .stop_grace = options_.stop_grace,
      .peers = Address(kNodeNetwork, index, peers_port_),
      .local = Address(kNodeNetwork, index, local_port_),
      .outer_addresses =
          fmt::format("callers = {}\nannouncements = {}\nupstream = {}\n",
                      Callers(index), Announcements(index), Upstream(index)),
      .control_addresses = addresses + ControlAddresses(),
      .peers_port = std::to_string(peers_port_),
      .limits = std::string(kNodeLimits) + kLeaseLimits});
}

void platform_fleet::WriteSettings(const process& target) {
  std::ofstream(PathOf(target, ".ini"))
      << (target.self.kind == role::kControl ? ControlSettings(target)
                                             : NodeSettings(target));
}

platform_fleet::process& platform_fleet::At(member which) {
  const std::scoped_lock lock(members_mutex_);
  return *(which.kind == role::kControl ? controls_ : nodes_).at(which.index);
}

void platform_fleet::Start() {
  for (std::size_t i = 0; i < options_.control_vms; ++i) Launch(*controls_[i]);
  for (const auto& each : nodes_) Launch(*each);
}

std::size_t platform_fleet::AddControlVm() {
  process* added = nullptr;
  std::size_t index = 0;
  {
    const std::scoped_lock lock(members_mutex_);
    index = controls_.size();
    controls_.push_back(MakeProcess({role::kControl, index}, false));
    added = controls_.back().get();
  }
  const std::scoped_lock lock(added->mutex);
  Launch(*added);
  return index;
}

void platform_fleet::Launch(process& target) {
  std::packaged_task<void()> task([this, &target] {
    WriteSettings(target);
    const auto programs =
        std::filesystem::read_symlink("/proc/self/exe").parent_path();
    target.child = child_process::MakeChildProcess(
        {.program = (programs / "hornbeamd-platform").string(),
         .arguments = {"--config", PathOf(target, ".ini")},
         .output_path = PathOf(target, ".out"),
         .error_path = PathOf(target, ".log"),
         .environment =
             cuts_.Environment(target.self.kind == role::kControl
                                   ? static_cast<int>(target.self.index)
                                   : kCutNode)});
    // A signal between exec and main ends any process.
    if (target.child) WaitUntil([&] { return HandlesHangUp(*target.child); });
  });
  auto done = task.get_future();
  {
    const std::scoped_lock lock(launch_mutex_);
    launches_.push_back(std::move(task));
  }
  launch_changed_.notify_all();
  done.wait();
}

void platform_fleet::LaunchLoop() {
  while (true) {
    std::unique_lock lock(launch_mutex_);
    launch_changed_.wait(lock,
                         [this] { return stopped_ || !launches_.empty(); });
    if (launches_.empty()) return;
    auto task = std::move(launches_.front());
    launches_.pop_front();
    lock.unlock();
    task();
  }
}

void platform_fleet::End(process& target, int signal) const {
  if (!target.child) return;
  target.child->Signal(signal);
  if (!target.child->WaitForExit(options_.stop_grace)) target.child->Kill();
  target.child.reset();
}

void platform_fleet::Restart(member which, int signal,
                             std::chrono::milliseconds dark) {
  process& target = At(which);
  const std::scoped_lock lock(target.mutex);
  if (target.removed) return;
  End(target, signal);
  std::this_thread::sleep_for(dark);
  Launch(target);
}

void platform_fleet::Remove(member which, int signal) {
  process& target = At(which);
  const std::scoped_lock lock(target.mutex);
  target.removed = true;
  End(target, signal);
}

void platform_fleet::LoseDisk(std::size_t control,
                              std::chrono::milliseconds dark) {
  process& target = At({role::kControl, control});
  const std::scoped_lock lock(target.mutex);
  if (target.removed) return;
  End(target, SIGKILL);
  std::filesystem::remove_all(PathOf(target, "-data"));
  std::this_thread::sleep_for(dark);
  target.may_found = false;
  Launch(target);
}

void platform_fleet::Suspend(member which, std::chrono::milliseconds time) {
  process& target = At(which);
  const std::scoped_lock lock(target.mutex);
  if (!target.child) return;
  target.child->Signal(SIGSTOP);
  std::this_thread::sleep_for(time);
  target.child->Signal(SIGCONT);
}

void platform_fleet::Reload(member which) {
  process& target = At(which);
  const std::scoped_lock lock(target.mutex);
  if (!target.child) return;
  WriteSettings(target);
  target.child->Signal(SIGHUP);
}

std::vector<std::string> platform_fleet::TakeUnexpectedEnds() {
  std::vector<process*> all;
  {
    const std::scoped_lock lock(members_mutex_);
    for (auto* group : {&nodes_, &controls_})
      for (const auto& each : *group) all.push_back(each.get());
  }
  std::vector<std::string> ended;
  for (process* each : all) {
    const std::unique_lock lock(each->mutex, std::try_to_lock);
    if (!lock || !each->child || each->child->IsRunning()) continue;
    const auto code = each->child->WaitForExit(std::chrono::milliseconds(0));
    ended.push_back(fmt::format("{} with {}: {}", each->name, code.value_or(0),
                                each->child->Errors()));
    each->child.reset();
    Launch(*each);
  }
  return ended;
}

std::vector<std::size_t> platform_fleet::RunningControlVms() {
  const std::scoped_lock lock(members_mutex_);
  std::vector<std::size_t> running;
  for (std::size_t i = 0; i < controls_.size(); ++i)
    if (!controls_[i]->removed) running.push_back(i);
  return running;
}

}  // namespace hornbeam
