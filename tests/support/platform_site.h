// Control VMs and two nodes of the platform's daemon, with the test itself as
// upstream, operator and callers.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/platform_connection.h"
#include "support/platform_upstream.h"
#include "support/port_block.h"
#include "support/temporary_directory.h"

namespace hornbeam {

struct platform_site_options {
  std::chrono::seconds stop_grace{6};
  std::chrono::milliseconds route_timeout{4000};
  std::string route_kind = "unsafe";
  std::size_t control_vms = 1;
};

// The ingress has no upstream of its own; the serving node is beside the only
// upstream.
class platform_site {
 public:
  // Starts the processes and waits until the ingress serves. Returns null if
  // that takes too long.
  static std::unique_ptr<platform_site> MakePlatformSite(
      const platform_site_options& options, platform_upstream::handler serve);
  ~platform_site();
  platform_site(const platform_site&) = delete;
  platform_site& operator=(const platform_site&) = delete;

  // Returns the ingress's address for callers.
  [[nodiscard]] const std::string& Callers() const { return callers_; }
  // Returns the serving node's address for callers.
  [[nodiscard]] const std::string& ServingCallers() const {
    return serving_callers_;
  }
  [[nodiscard]] child_process& Ingress() { return *ingress_; }
  [[nodiscard]] child_process& ServingNode() { return *serving_; }
  [[nodiscard]] child_process& ControlVm(std::size_t index = 0) {
    return *controls_.at(index);
  }
  // Returns where operators reach a control VM.
  [[nodiscard]] std::string Operators(std::size_t index = 0) const;
  // Returns the control VM that was elected last, by the logs.
  [[nodiscard]] std::size_t LeadingControlVm() const;

  // Sends one order, a JSON document, to a control VM and returns the status of
  // the reply; 0 without one.
  [[nodiscard]] int Order(std::size_t index, const std::string& target,
                          const std::string& document,
                          std::chrono::milliseconds limit) const;
  // Sends one change of the routing table to the first control VM.
  [[nodiscard]] int Replace(const std::string& table) const;
  // Returns a table with the given version.
  [[nodiscard]] std::string MakeTable(int version, int base_version) const;
  // Ends the control VM by force, starts it on its disk and waits until it
  // leads.
  bool RestartControlVm();

  // Starts one more control VM, with an empty disk, and returns its index.
  std::size_t AddControlVm();
  // Ends a control VM by force and starts it with an empty disk after `dark`.
  void LoseControlDisk(std::size_t index, std::chrono::milliseconds dark);
  // Returns the routing table as the control VM answers a read of it; empty if
  // it does not answer with 200.
  [[nodiscard]] std::string ReadTable(std::size_t index) const;
  // Sends the change to the control VMs at `indices` in turn until one accepts
  // it. Returns false if none does within `limit`.
  [[nodiscard]] bool ReplaceAtAny(const std::string& table,
                                  const std::vector<std::size_t>& indices,
                                  std::chrono::milliseconds limit) const;

  // The upstream announces itself no more by its own.
  void StopAnnouncing();
  // Sends one announcement of the upstream, or its leave, and returns the
  // status of the reply; 0 without one. Without a start the leave has no body.
  [[nodiscard]] int Announce(const std::string& instance, std::int64_t started,
                             int sequence,
                             const std::string& state = "ready") const;
  [[nodiscard]] int Deregister(const std::string& instance,
                               std::optional<std::int64_t> started) const;
  // Ends the serving node with `signal` and starts it again. Returns false if
  // it did not end in time.
  bool RestartServingNode(int signal);
  // Waits until the serving node says that it is ready.
  bool WaitServingNodeReady() const;

 private:
  platform_site(std::unique_ptr<port_block> ports,
                const platform_site_options& options,
                platform_upstream::handler serve);
  [[nodiscard]] std::unique_ptr<child_process> StartDaemon(
      const std::string& name, const std::string& settings) const;
  [[nodiscard]] std::unique_ptr<child_process> StartNode(
      const std::string& name, const std::string& service,
      const std::string& addresses) const;
  bool Start();
  void AnnounceLoop();
  [[nodiscard]] std::unique_ptr<child_process> StartServingNode() const;
  [[nodiscard]] std::unique_ptr<child_process> StartControlVm(
      std::size_t index, bool may_found = true) const;
  // Returns the configured addresses of all control VMs.
  [[nodiscard]] std::string ControlAddresses() const;

  const platform_site_options options_;
  temporary_directory directory_;
  const std::unique_ptr<port_block> ports_;
  // Of the first control VM. The others use the same ports of the next loopback
  // addresses.
  const std::string operators_;
  const std::string control_peers_;
  const std::string control_local_;
  const std::string callers_;
  const std::string serving_callers_;
  const std::string announcements_;
  const std::string upstream_address_;
  platform_upstream upstream_;
  std::atomic<bool> stopped_ = false;
  std::thread announcer_;
  std::vector<std::unique_ptr<child_process>> controls_;
  std::unique_ptr<child_process> ingress_;
  std::unique_ptr<child_process> serving_;
};

}  // namespace hornbeam
