// A small complete deployment on the loopback interface, as separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/child_process.h"
#include "support/port_block.h"
#include "support/run_record.h"
#include "support/silent_relay.h"

namespace hornbeam {

// One service of a site.
struct site_service {
  std::string name;
  std::size_t upstreams = 3;
  std::size_t slots = 20;
  std::string behaviour = "{}";          // Of the stand-ins, as JSON.
  std::string settings = "[service]\n";  // Not set when empty.
};

struct site_options {
  std::size_t control_vms = 3;
  std::vector<site_service> services;
  std::vector<std::string> availability_zones = {"sfax-a", "sfax-b", "gabes-c"};
  std::string limits;  // Lines of section [limits] for every daemon.
  std::string log_level = "info";
  bool relay_control = false;    // Nodes reach each control VM through a relay.
  bool relay_nodes = false;      // Nodes reach each other through relays.
  bool outlives_parent = false;  // No SIGKILL when the parent exits.
  bool sync_records = true;      // Stand-ins sync their record of filings.
};

// A daemon or stand-in upstream of a site. The comments name the processes that
// have each field.
struct site_process {
  std::string name;
  std::string callers;                // Nodes and stand-ins.
  std::string peers;                  // Daemons.
  std::string local;                  // Daemons.
  std::string advertised_peers;       // Nodes behind a relay.
  std::string record;                 // Stand-ins: file with the runs.
  std::string service;                // Nodes and stand-ins.
  std::string availability_zone;      // Nodes.
  std::filesystem::path data_folder;  // Control VMs.
  child_spec spec;
  std::unique_ptr<child_process> process;

  // Starts the process; one that still runs is stopped first. Returns false on
  // failure.
  bool Start();
};

// Result of a run of hornbeamctl.
struct ctl_result {
  int exit_code = -1;  // -1: not started, or killed after 40 s.
  std::string output;
  std::string errors;
};

// Runs control VMs and, for each node, one stand-in upstream with the same
// index. All files are in a temporary directory, which is removed with the site
// unless KeepDirectory was called or the start failed. The destructor kills the
// processes.
class site {
 public:
  static constexpr std::string_view kTeam = "nappe";
  static constexpr std::string_view kToken = "token-of-nappe";

  // Writes the configuration files without starting a process. Returns null
  // when ports, relays, the directory or a file cannot be created.
  static std::unique_ptr<site> MakeSite(site_options options);
  ~site();
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  // Starts all processes, sets the settings of the services and waits until
  // every node answers calls of every service. Returns false on failure, with
  // the reason in LastError.
  bool Start();
  // Stops all processes with SIGTERM: stand-ins, then nodes, then control VMs.
  // Waits up to 40 seconds for each and returns whether all exited with code 0.
  bool Stop();
  // Waits until all running daemons are ready and every running node answers
  // calls of every service. Returns false after `limit`.
  bool WaitUntilServing(std::chrono::milliseconds limit);

  std::vector<site_process>& ControlVms() { return control_vms_; }
  std::vector<site_process>& Nodes() { return nodes_; }
  std::vector<site_process>& Upstreams() { return upstreams_; }
  // Returns the relay in front of control VM `index`; requires relay_control.
  silent_relay& ControlRelay(std::size_t index) { return *relays_[index]; }
  // Returns the relay in front of the peers listener of node `index`; requires
  // relay_nodes.
  silent_relay& NodeRelay(std::size_t index) { return *node_relays_[index]; }

  // Adds a delay of `one_way` in each direction to new connections between
  // nodes of different availability zones; requires relay_nodes.
  void SetZoneDelay(std::chrono::microseconds one_way);

  // Returns the addresses of the callers listeners of all nodes.
  [[nodiscard]] std::vector<std::string> NodeAddresses() const;
  // Returns the runs that all stand-ins recorded.
  [[nodiscard]] std::vector<run_entry> Runs() const;
  // Changes the behaviour of stand-in `index`. Returns whether it was accepted.
  bool SetBehaviour(std::size_t index, const std::string& json);
  // Runs hornbeamctl as the site's team and waits until it exits. Thread-safe.
  ctl_result RunCtl(const std::vector<std::string>& arguments);
  // Runs hornbeamctl with control VM `index` as its only address.
  ctl_result RunCtlAt(std::size_t index,
                      const std::vector<std::string>& arguments);
  // Sets the settings of a service. Returns whether they were accepted.
  bool SetServiceSettings(const std::string& service, const std::string& text);

  // Returns the reason of the last failure.
  [[nodiscard]] const std::string& LastError() const { return last_error_; }
  [[nodiscard]] const std::filesystem::path& Directory() const {
    return directory_;
  }
  // Keeps the directory when the site is destroyed.
  void KeepDirectory() { keeps_directory_ = true; }
  // Gives up ownership of the processes and keeps the directory. The port lock
  // is still released with the site.
  void Release();

 private:
  site(site_options options, std::unique_ptr<port_block> ports,
       std::filesystem::path directory);

  bool MakeControlVms();
  bool MakeNodes();
  bool MakeNodeRelay(site_process& node);
  void MakeNode(const site_service& service, std::size_t number);
  [[nodiscard]] const site_process* FindSender(
      std::string_view first_bytes) const;
  void MakeUpstream(const site_service& service, const site_process& node,
                    std::size_t number);
  bool WriteDaemonFile(const site_process& daemon, std::string_view role,
                       const std::string& zone,
                       const std::string& control_addresses) const;
  [[nodiscard]] child_spec MakeSpec(const std::string& program,
                                    const std::string& name) const;
  ctl_result RunCtlWith(std::vector<std::string> arguments,
                        const std::string& control_addresses);
  bool Fail(const std::string& reason);
  bool SetAllSettings();

  site_options options_;
  std::unique_ptr<port_block> ports_;
  std::filesystem::path directory_;
  std::vector<site_process> control_vms_;
  std::vector<site_process> nodes_;
  std::vector<site_process> upstreams_;
  std::vector<std::unique_ptr<silent_relay>> relays_;
  std::vector<std::unique_ptr<silent_relay>> node_relays_;
  std::string last_error_;
  std::atomic<std::size_t> ctl_runs_ = 0;
  bool keeps_directory_ = false;
};

}  // namespace hornbeam
