#include "support/site.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <stdlib.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

#include "support/http_call.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

namespace fs = std::filesystem;

constexpr std::chrono::seconds kStopLimit{40};
constexpr std::chrono::seconds kCtlLimit{40};
constexpr std::chrono::seconds kServingLimit{30};

// Returns the directory of the running program, which holds the other programs.
fs::path ProgramDirectory() {
  return fs::read_symlink("/proc/self/exe").parent_path();
}

bool WriteFile(const fs::path& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  return file.good();
}

// Returns the peers addresses of `processes` in the format of the settings.
std::string ListPeers(const std::vector<site_process>& processes) {
  std::vector<std::string> addresses(processes.size());
  std::ranges::transform(processes, addresses.begin(), &site_process::peers);
  return fmt::format("{}", fmt::join(addresses, ", "));
}

void SignalAll(std::vector<site_process>& processes, int signal) {
  for (site_process& each : processes) {
    if (each.process != nullptr) each.process->Signal(signal);
  }
}

// Waits for all started processes. Returns whether each exited with code 0, and
// appends the others to `errors`.
bool WaitAll(std::vector<site_process>& processes, std::string& errors) {
  bool all_succeeded = true;
  for (site_process& each : processes) {
    if (each.process == nullptr) continue;
    const auto code = each.process->WaitForExit(kStopLimit);
    if (code == 0) continue;
    all_succeeded = false;
    errors += fmt::format("{}: exit code {}\n", each.name,
                          code ? std::to_string(*code) : "none, still running");
  }
  return all_succeeded;
}

bool StartAll(std::vector<site_process>& processes) {
  return std::ranges::all_of(processes,
                             [](site_process& each) { return each.Start(); });
}

}  // namespace

bool site_process::Start() {
  process.reset();
  process = child_process::MakeChildProcess(spec);
  return process != nullptr;
}

std::unique_ptr<site> site::MakeSite(site_options options) {
  auto ports = port_block::MakePortBlock();
  if (ports == nullptr) return nullptr;
  std::string pattern =
      (fs::temp_directory_path() / "hornbeam-site-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) return nullptr;
  std::unique_ptr<site> made(
      new site(std::move(options), std::move(ports), pattern));
  if (!made->MakeControlVms() || !made->MakeNodes()) return nullptr;
  return made;
}

site::site(site_options options, std::unique_ptr<port_block> ports,
           fs::path directory)
    : options_(std::move(options)),
      ports_(std::move(ports)),
      directory_(std::move(directory)) {}

site::~site() {
  for (auto* group : {&upstreams_, &nodes_, &control_vms_}) {
    SignalAll(*group, SIGKILL);
  }
  std::error_code ignored;
  if (!keeps_directory_) fs::remove_all(directory_, ignored);
}

child_spec site::MakeSpec(const std::string& program,
                          const std::string& name) const {
  return child_spec{.program = (ProgramDirectory() / program).string(),
                    .arguments = {},
                    .output_path = (directory_ / (name + ".out")).string(),
                    .error_path = (directory_ / (name + ".log")).string(),
                    .outlives_parent = options_.outlives_parent};
}

bool site::MakeControlVms() {
  for (std::size_t number = 1; number <= options_.control_vms; ++number) {
    site_process& vm = control_vms_.emplace_back();
    vm.name = fmt::format("control-{}", number);
    vm.peers = ports_->NextAddress();
    vm.local = ports_->NextAddress();
    vm.data_folder = directory_ / vm.name;
    fs::create_directory(vm.data_folder);
    vm.spec = MakeSpec("hornbeamd", vm.name);
    vm.spec.arguments = {"--config",
                         (directory_ / (vm.name + ".ini")).string()};
  }
  const std::string list = ListPeers(control_vms_);
  const auto& zones = options_.availability_zones;
  for (std::size_t index = 0; index < control_vms_.size(); ++index) {
    if (!WriteDaemonFile(control_vms_[index], "control",
                         zones[index % zones.size()], list)) {
      return false;
    }
  }
  return true;
}

bool site::MakeNodes() {
  std::vector<std::string> addresses;
  for (const site_process& vm : control_vms_) {
    if (!options_.relay_control) {
      addresses.push_back(vm.peers);
      continue;
    }
    relays_.push_back(
        silent_relay::MakeSilentRelay(ports_->NextAddress(), vm.peers));
    if (relays_.back() == nullptr) return false;
    addresses.push_back(relays_.back()->Address());
  }
  const std::string list = fmt::format("{}", fmt::join(addresses, ", "));
  for (const site_service& service : options_.services) {
    for (std::size_t number = 1; number <= service.upstreams; ++number) {
      MakeNode(service, number);
      if (options_.relay_nodes && !MakeNodeRelay(nodes_.back())) return false;
      if (!WriteDaemonFile(nodes_.back(), "node",
                           nodes_.back().availability_zone, list)) {
        return false;
      }
    }
  }
  return true;
}

void site::MakeNode(const site_service& service, std::size_t number) {
  site_process& node = nodes_.emplace_back();
  node.name = fmt::format("{}-{}", service.name, number);
  const auto& zones = options_.availability_zones;
  node.service = service.name;
  node.availability_zone = zones[(number - 1) % zones.size()];
  node.callers = ports_->NextAddress();
  node.peers = ports_->NextAddress();
  node.local = ports_->NextAddress();
  node.spec = MakeSpec("hornbeamd", node.name);
  node.spec.arguments = {"--config",
                         (directory_ / (node.name + ".ini")).string()};
  MakeUpstream(service, node, number);
}

bool site::MakeNodeRelay(site_process& node) {
  node_relays_.push_back(
      silent_relay::MakeSilentRelay(ports_->NextAddress(), node.peers));
  if (node_relays_.back() == nullptr) return false;
  node.advertised_peers = node_relays_.back()->Address();
  return true;
}

void site::MakeUpstream(const site_service& service, const site_process& node,
                        std::size_t number) {
  site_process& upstream = upstreams_.emplace_back();
  upstream.name = "standin-" + node.name;
  upstream.service = service.name;
  upstream.callers = ports_->NextAddress();
  upstream.record = (directory_ / (upstream.name + ".record")).string();
  upstream.spec = MakeSpec("standin_upstream", upstream.name);
  upstream.spec.arguments = {
      "--name",        upstream.name,
      "--service",     service.name,
      "--listen",      upstream.callers,
      "--node",        node.local,
      "--record",      upstream.record,
      "--slots",       std::to_string(service.slots),
      "--seed",        std::to_string(number),
      "--behaviour",   service.behaviour,
      "--sync-record", options_.sync_records ? "1" : "0"};
}

bool site::WriteDaemonFile(const site_process& daemon, std::string_view role,
                           const std::string& zone,
                           const std::string& control_addresses) const {
  std::string text = fmt::format(
      "[process]\nrole = {}\nname = {}\nregion = sfax\n"
      "availability_zone = {}\n\n[listen]\n",
      role, daemon.name, zone);
  if (!daemon.callers.empty()) {
    text += fmt::format("callers = {}\n", daemon.callers);
  }
  if (!daemon.advertised_peers.empty()) {
    text += fmt::format("advertised_peers = {}\n", daemon.advertised_peers);
  }
  text += fmt::format("peers = {}\nlocal = {}\n\n[control]\naddresses = {}\n",
                      daemon.peers, daemon.local, control_addresses);
  if (role == "control") {
    text += fmt::format("\n[storage]\ndata_folder = {}\n\n[teams]\n{} = {}\n",
                        daemon.data_folder.string(), kTeam, kToken);
  }
  text += fmt::format("\n[log]\nlevel = {}\n\n[limits]\n{}\n",
                      options_.log_level, options_.limits);
  return WriteFile(directory_ / (daemon.name + ".ini"), text);
}

bool site::Start() {
  if (!StartAll(control_vms_) || !StartAll(nodes_) || !StartAll(upstreams_)) {
    return Fail("a process cannot be started");
  }
  if (!SetAllSettings()) return false;
  if (!WaitUntilServing(kServingLimit))
    return Fail("timed out waiting until all nodes serve");
  return true;
}

bool site::SetAllSettings() {
  for (const site_service& service : options_.services) {
    if (service.settings.empty()) continue;
    const bool accepted = WaitUntil(
        [&] { return SetServiceSettings(service.name, service.settings); },
        kServingLimit);
    if (!accepted) {
      return Fail("settings of " + service.name +
                  " not accepted: " + last_error_);
    }
  }
  return true;
}

bool site::WaitUntilServing(std::chrono::milliseconds limit) {
  const auto is_ready = [](site_process& daemon) {
    return daemon.process == nullptr || !daemon.process->IsRunning() ||
           IsOk(daemon.local, "/ready");
  };
  const auto reaches_all = [this](site_process& node) {
    if (node.process == nullptr || !node.process->IsRunning()) return true;
    return std::ranges::all_of(options_.services, [&](const site_service& s) {
      return IsOk(node.callers, "/" + s.name + "/lookup?call=warm-up");
    });
  };
  return WaitUntil(
      [&] {
        return std::ranges::all_of(control_vms_, is_ready) &&
               std::ranges::all_of(nodes_, is_ready) &&
               std::ranges::all_of(nodes_, reaches_all);
      },
      limit);
}

bool site::Stop() {
  bool all_succeeded = true;
  for (auto* group : {&upstreams_, &nodes_, &control_vms_}) {
    SignalAll(*group, SIGCONT);
    SignalAll(*group, SIGTERM);
    all_succeeded = WaitAll(*group, last_error_) && all_succeeded;
  }
  return all_succeeded;
}

void site::SetZoneDelay(std::chrono::microseconds one_way) {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const std::string& zone = nodes_[index].availability_zone;
    const auto rule = [this, zone, one_way](std::string_view first_bytes) {
      const site_process* sender = FindSender(first_bytes);
      const bool is_same_zone =
          sender != nullptr && sender->availability_zone == zone;
      return is_same_zone ? std::chrono::microseconds(0) : one_way;
    };
    node_relays_[index]->SetDelayRule(rule);
  }
}

// Returns the node that opened a connection, or null. The first message of a
// connection contains the name of its sender.
const site_process* site::FindSender(std::string_view first_bytes) const {
  const auto is_named = [first_bytes](const site_process& node) {
    return first_bytes.find(node.name) != std::string_view::npos;
  };
  const auto found = std::ranges::find_if(nodes_, is_named);
  return found == nodes_.end() ? nullptr : &*found;
}

std::vector<std::string> site::NodeAddresses() const {
  std::vector<std::string> addresses(nodes_.size());
  std::ranges::transform(nodes_, addresses.begin(), &site_process::callers);
  return addresses;
}

std::vector<run_entry> site::Runs() const {
  std::vector<run_entry> all;
  for (const site_process& upstream : upstreams_) {
    std::ranges::move(ReadRunRecord(upstream.record), std::back_inserter(all));
  }
  return all;
}

bool site::SetBehaviour(std::size_t index, const std::string& json) {
  constexpr int kNoContent = 204;
  caller_request request;
  request.method = "PUT";
  request.target = "/standin/behaviour";
  request.body = json;
  return CallOnce(upstreams_[index].callers, request).status == kNoContent;
}

ctl_result site::RunCtl(const std::vector<std::string>& arguments) {
  return RunCtlWith(arguments, ListPeers(control_vms_));
}

ctl_result site::RunCtlAt(std::size_t index,
                          const std::vector<std::string>& arguments) {
  return RunCtlWith(arguments, control_vms_[index].peers);
}

ctl_result site::RunCtlWith(std::vector<std::string> arguments,
                            const std::string& control_addresses) {
  const auto add = [&](std::string_view flag, std::string_view value) {
    arguments.emplace_back(flag);
    arguments.emplace_back(value);
  };
  add("--control", control_addresses);
  add("--team", kTeam);
  add("--token", kToken);
  child_spec spec = MakeSpec("hornbeamctl", fmt::format("ctl-{}", ++ctl_runs_));
  spec.arguments = std::move(arguments);
  spec.outlives_parent = false;
  const auto process = child_process::MakeChildProcess(spec);
  if (process == nullptr) return {};
  const auto code = process->WaitForExit(kCtlLimit);
  if (!code) process->Kill();
  return ctl_result{.exit_code = code.value_or(-1),
                    .output = process->Output(),
                    .errors = process->Errors()};
}

bool site::SetServiceSettings(const std::string& service,
                              const std::string& text) {
  const fs::path file = directory_ / (service + ".service.ini");
  if (!WriteFile(file, text)) return Fail("cannot write " + file.string());
  const ctl_result done =
      RunCtl({"settings", "set", fmt::format("{}/services/{}", kTeam, service),
              file.string(), "--wait-ms", "0"});
  if (done.exit_code != 0) last_error_ = done.output + done.errors;
  return done.exit_code == 0;
}

void site::Release() {
  keeps_directory_ = true;
  for (auto* group : {&upstreams_, &nodes_, &control_vms_}) {
    for (site_process& each : *group) {
      if (each.process == nullptr) continue;
      each.process->Release();
      each.process.reset();
    }
  }
}

bool site::Fail(const std::string& reason) {
  last_error_ = reason;
  keeps_directory_ = true;
  return false;
}

}  // namespace hornbeam
