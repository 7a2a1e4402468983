// Control VMs and two nodes of the platform's daemon, with the test itself as
// upstream, operator and callers.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/port_block.h"
#include "support/temporary_directory.h"

namespace hornbeam {

// One request and its answer on a kept connection, without any interpretation.
struct platform_answer {
  int status = 0;  // 0: the connection ended without an answer.
  std::string head;
  std::string body;

  // Whether the upstream itself made the answer.
  [[nodiscard]] bool IsOfUpstream() const {
    return head.find("X-Response-Signature") != std::string::npos;
  }
};

// A blocking connection to one address. Calls throw nothing: a failure shows as
// an empty result.
class platform_connection {
 public:
  explicit platform_connection(const std::string& address);

  // Limits the time until an answer begins.
  void SetTimeLimit(std::chrono::milliseconds limit) { time_limit_ = limit; }

  // Sends one request and waits for its answer.
  platform_answer Call(std::string_view method, std::string_view target,
                       const std::string& fields, const std::string& body = {});

 private:
  // Returns false if the time limit passes first.
  bool WaitForAnswer();

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::optional<std::chrono::milliseconds> time_limit_;
};

// An upstream on loopback, with a thread for each connection.
class platform_upstream {
 public:
  // Serves one request whose head is `head` by writing to `socket`; returns
  // whether the connection is kept.
  using handler = std::function<bool(boost::asio::ip::tcp::socket& socket,
                                     const std::string& head)>;

  // Health checks are answered with 200 unless `serves_health_checks`: then
  // `serve` gets them as well.
  platform_upstream(const std::string& address, handler serve,
                    bool serves_health_checks = false);
  ~platform_upstream();
  platform_upstream(const platform_upstream&) = delete;
  platform_upstream& operator=(const platform_upstream&) = delete;

 private:
  struct served_connection {
    boost::asio::ip::tcp::socket socket;
    std::thread thread;
    bool ended = false;  // The thread ends; the socket is closed.
  };

  void AcceptLoop();
  void Run(served_connection& connection);
  void Serve(boost::asio::ip::tcp::socket& socket) const;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const handler serve_;
  const bool serves_health_checks_;
  std::mutex mutex_;
  std::list<served_connection> connections_;
  std::thread accept_thread_;
};

// Writes a complete answer of the upstream to the request with `head`.
bool WriteUpstreamAnswer(boost::asio::ip::tcp::socket& socket,
                         const std::string& head, const std::string& body);

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
