#include "support/platform_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "support/platform_settings.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{300};
// Above the time in which a control VM answers an order in any case.
constexpr std::chrono::milliseconds kOrderLimit{10'000};

std::string PortOf(const std::string& address) {
  return address.substr(address.find(':') + 1);
}

// Returns the address of the control VM at `index`, given that of the first.
std::string AddressOf(const std::string& first, std::size_t index) {
  return fmt::format("127.0.0.{}:{}", index + 1, PortOf(first));
}

}  // namespace

std::unique_ptr<platform_site> platform_site::MakePlatformSite(
    const platform_site_options& options, platform_upstream::handler serve) {
  auto ports = port_block::MakePortBlock();
  if (ports == nullptr) return nullptr;
  std::unique_ptr<platform_site> made(
      new platform_site(std::move(ports), options, std::move(serve)));
  return made->Start() ? std::move(made) : nullptr;
}

platform_site::platform_site(std::unique_ptr<port_block> ports,
                             const platform_site_options& options,
                             platform_upstream::handler serve)
    : options_(options),
      ports_(std::move(ports)),
      operators_(ports_->NextAddress()),
      control_peers_(ports_->NextAddress()),
      control_local_(ports_->NextAddress()),
      callers_(ports_->NextAddress()),
      serving_callers_(ports_->NextAddress()),
      announcements_(ports_->NextAddress()),
      upstream_address_(ports_->NextAddress()),
      upstream_(upstream_address_, std::move(serve)) {}

platform_site::~platform_site() {
  stopped_ = true;
  if (announcer_.joinable()) announcer_.join();
  if (ingress_) ingress_->Kill();
  if (serving_) serving_->Kill();
  for (const auto& each : controls_) each->Kill();
}

std::unique_ptr<child_process> platform_site::StartDaemon(
    const std::string& name, const std::string& settings) const {
  const std::filesystem::path base = directory_.Path() / name;
  std::ofstream(base.string() + ".ini") << settings;
  const auto programs =
      std::filesystem::read_symlink("/proc/self/exe").parent_path();
  return child_process::MakeChildProcess(
      {.program = (programs / "hornbeamd-platform").string(),
       .arguments = {"--config", base.string() + ".ini"},
       .output_path = base.string() + ".out",
       .error_path = base.string() + ".log"});
}

std::unique_ptr<child_process> platform_site::StartNode(
    const std::string& name, const std::string& service,
    const std::string& addresses) const {
  return StartDaemon(name, FormatSettings(platform_node_settings{
                               .name = name,
                               .zone = "z",
                               .service = service,
                               .stop_grace = options_.stop_grace,
                               .peers = ports_->NextAddress(),
                               .local = ports_->NextAddress(),
                               .outer_addresses = addresses,
                               .control_addresses = ControlAddresses(),
                               .peers_port = PortOf(control_peers_),
                               .limits = "receiving_body_bytes = 33554432\n"}));
}

std::unique_ptr<child_process> platform_site::StartControlVm(
    std::size_t index, bool may_found) const {
  const std::string name = fmt::format("control-{}", index + 1);
  const std::filesystem::path data = directory_.Path() / (name + "-data");
  std::filesystem::create_directory(data);
  return StartDaemon(name,
                     FormatSettings(platform_control_settings{
                         .name = name,
                         .zone = "z",
                         .peers = AddressOf(control_peers_, index),
                         .local = AddressOf(control_local_, index),
                         .operators = Operators(index),
                         .control_addresses = ControlAddresses(),
                         .peers_port = PortOf(control_peers_),
                         .may_found = may_found,
                         .tolerated_losses = (options_.control_vms - 1) / 2,
                         .data_folder = data.string()}));
}

std::string platform_site::ControlAddresses() const {
  std::string addresses = Operators();
  for (std::size_t index = 1; index < options_.control_vms; ++index) {
    addresses += "," + Operators(index);
  }
  return addresses;
}

std::string platform_site::Operators(std::size_t index) const {
  return AddressOf(operators_, index);
}

std::size_t platform_site::LeadingControlVm() const {
  constexpr std::string_view kElected = "role=leader term=";
  const auto last_term = [&](const auto& control) {
    const std::string log = control->Errors() + control->Output();
    const std::size_t found = log.rfind(kElected);
    if (found == std::string::npos) return 0;
    return std::atoi(log.c_str() + found + kElected.size());
  };
  const auto leading = std::ranges::max_element(controls_, {}, last_term);
  return static_cast<std::size_t>(leading - controls_.begin());
}

bool platform_site::RestartControlVm() {
  controls_.front()->Kill();
  controls_.front() = StartControlVm(0);
  return WaitUntil([this] {
    return platform_connection(operators_)
               .Call("GET", "/hornbeamlb/Config.Get", "Host: control\r\n")
               .status == 200;
  });
}

bool platform_site::Start() {
  for (std::size_t index = 0; index < options_.control_vms; ++index) {
    controls_.push_back(StartControlVm(index));
    if (controls_.back() == nullptr) return false;
  }
  ingress_ =
      StartNode("ingress", "desk", fmt::format("callers = {}\n", callers_));
  serving_ = StartServingNode();
  announcer_ = std::thread([this] { AnnounceLoop(); });
  const auto is_serving = [this] {
    return platform_connection(callers_)
               .Call("GET", "/history/start",
                     "Host: history.example\r\nX-Request-Id: start\r\n"
                     "X-Deadline-Ms: 1000\r\n")
               .status == 200;
  };
  return ingress_ && serving_ &&
         WaitUntil([this] { return Replace(MakeTable(1, 0)) == 200; }) &&
         WaitUntil(is_serving);
}

std::string platform_site::MakeTable(int version, int base_version) const {
  const double timeout_s =
      static_cast<double>(options_.route_timeout.count()) / 1000;
  return fmt::format(
      R"({{"version":"r{2}","baseVersion":"r{3}","routes":{{"history":{{)"
      R"("host":"history.example","pathPrefix":"/history/",)"
      R"("kind":"{1}","service":"history","maxAttempts":2,)"
      R"("timeoutS":{0},"aimS":{0},"priority":0}}}},)"
      R"("services":{{"history":{{"healthPath":"/health","maxConnections":220}}}},)"
      R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
      R"("headerTimeoutS":5,"idleTimeoutS":20}}}})",
      timeout_s, options_.route_kind, version, base_version);
}

int platform_site::Order(std::size_t index, const std::string& target,
                         const std::string& document,
                         std::chrono::milliseconds limit) const {
  platform_connection control(Operators(index));
  control.SetTimeLimit(limit);
  return control
      .Call("POST", target,
            "Host: control\r\nContent-Type: application/json\r\n", document)
      .status;
}

int platform_site::Replace(const std::string& table) const {
  return Order(0, "/hornbeamlb/Config.Replace", table, kOrderLimit);
}

std::size_t platform_site::AddControlVm() {
  controls_.push_back(StartControlVm(controls_.size(), false));
  return controls_.size() - 1;
}

void platform_site::LoseControlDisk(std::size_t index,
                                    std::chrono::milliseconds dark) {
  controls_.at(index)->Kill();
  std::filesystem::remove_all(directory_.Path() /
                              fmt::format("control-{}-data", index + 1));
  std::this_thread::sleep_for(dark);
  controls_.at(index) = StartControlVm(index, false);
}

std::string platform_site::ReadTable(std::size_t index) const {
  platform_connection control(Operators(index));
  control.SetTimeLimit(std::chrono::milliseconds(1000));
  const platform_answer answer =
      control.Call("GET", "/hornbeamlb/Config.Get", "Host: control\r\n");
  return answer.status == 200 ? answer.body : std::string();
}

bool platform_site::ReplaceAtAny(const std::string& table,
                                 const std::vector<std::size_t>& indices,
                                 std::chrono::milliseconds limit) const {
  return WaitUntil(
      [&] {
        return std::ranges::any_of(indices, [&](std::size_t index) {
          return Order(index, "/hornbeamlb/Config.Replace", table,
                       std::chrono::milliseconds(1000)) == 200;
        });
      },
      limit);
}

std::unique_ptr<child_process> platform_site::StartServingNode() const {
  return StartNode(
      "serving", "history",
      fmt::format("callers = {}\nannouncements = {}\nupstream = {}\n",
                  serving_callers_, announcements_, upstream_address_));
}

bool platform_site::RestartServingNode(int signal) {
  serving_->Signal(signal);
  const bool ended =
      serving_->WaitForExit(options_.stop_grace + std::chrono::seconds(1))
          .has_value();
  serving_ = StartServingNode();
  return ended && serving_;
}

bool platform_site::WaitServingNodeReady() const {
  return WaitUntil([this] {
    return platform_connection(serving_callers_)
               .Call("GET", "/none/", "Host: history.example\r\n")
               .status == 404;
  });
}

void platform_site::StopAnnouncing() {
  stopped_ = true;
  if (announcer_.joinable()) announcer_.join();
}

int platform_site::Announce(const std::string& instance, std::int64_t started,
                            int sequence, const std::string& state) const {
  const std::string announcement = fmt::format(
      R"({{"address":"{}","info":{{"service":"history","version":"v1",)"
      R"("zone":"z","slots":18}},"status":{{"state":"{}","seq":{},)"
      R"("coldRemainingS":0}},"born":{}}})",
      upstream_address_, state, sequence, started);
  return platform_connection(announcements_)
      .Call("POST", "/hornbeamlb/Instances.Heartbeat/" + instance,
            "Host: control\r\nContent-Type: application/json\r\n", announcement)
      .status;
}

int platform_site::Deregister(const std::string& instance,
                              std::optional<std::int64_t> started) const {
  return platform_connection(announcements_)
      .Call("POST", "/hornbeamlb/Instances.Deregister/" + instance,
            "Host: control\r\nContent-Type: application/json\r\n",
            started ? fmt::format(R"({{"born":{}}})", *started) : "")
      .status;
}

void platform_site::AnnounceLoop() {
  constexpr std::int64_t kStarted = 1700000000000;
  for (int sequence = 1; !stopped_; ++sequence) {
    static_cast<void>(Announce("i-1", kStarted, sequence));
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

}  // namespace hornbeam
