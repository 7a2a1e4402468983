// Runs calls at the upstream of this node: admission, health checks, draining.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "controllers/departure_tracker.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "wire/call_server.h"
#include "wire/endpoint.h"

namespace hornbeam {

class departure_store;
class event_log;
class fiber_group;
class http_client;
class io_loop;
struct upstream_lifecycle;

struct instance_server_options {
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
  // Limit on all answers that are being received from the upstream, in total.
  std::size_t total_answer_limit_bytes = 64UL * 1024 * 1024;
  // Interval of the upstream's health checks, which also report its load.
  duration health_interval = std::chrono::milliseconds(250);
  duration health_timeout = std::chrono::milliseconds(500);
  // Address and service of an upstream that may already run when this process
  // starts; without an address the server waits for the first announcement.
  std::optional<endpoint> upstream;
  std::string service;
  // Returns whether the routing table names a service. An announcement of
  // another service than that and `service` is rejected.
  std::function<bool(std::string_view)> is_known_service;
  // Where confirmed departures outlast this process; may be null. Outlives the
  // server.
  departure_store* departures = nullptr;
};

// The only process that dispatches calls to its upstream, and therefore the
// authority on which calls did not run there. For the I/O thread only; owned by
// the daemon, outlives the fibers that use it.
class instance_server final : public call_service {
 public:
  instance_server(io_loop& loop, const clock_source& clock, event_log& log,
                  const process_identity& self, const platform_codec& codec,
                  const instance_server_options& options);
  ~instance_server() override;

  // Calls `on_change` with the announcement and whether the upstream drains
  // whenever the upstream is replaced or begins to drain.
  void Start(fiber_group& fibers,
             std::function<void(const instance_announcement&, bool)> on_change);
  void Stop();

  // Returns why an announcement names no upstream that this node can use;
  // std::nullopt if it names one. Ids repeat across incarnations, so of two
  // incarnations with one id the later start decides.
  [[nodiscard]] std::optional<std::string_view> RejectionReason(
      const instance_announcement& announced) const;
  // Returns why a withdrawal does not apply to this node's upstream.
  [[nodiscard]] std::optional<std::string_view> RejectionReason(
      const instance_withdrawal& withdrawn) const;
  // Applies an announcement or a withdrawal of the upstream. Ignores one that
  // is older than the known state or names no usable upstream. An announcement
  // waits until the recorded departures have been read.
  void Announce(const instance_announcement& announced);
  void Withdraw(const instance_withdrawal& withdrawn);
  // Apply it as well, and return whether it may be acknowledged by `deadline`:
  // only once it is applied and the departure that it states is durable.
  bool AnnounceDurably(const instance_announcement& announced,
                       time_point deadline);
  bool WithdrawDurably(const instance_withdrawal& withdrawn,
                       time_point deadline);
  // Sets the path at which the upstream answers health checks.
  void SetHealthPath(std::string path) { health_path_ = std::move(path); }

  // Rejects calls from other nodes from now on.
  void BeginDrain() { draining_ = true; }
  [[nodiscard]] std::size_t RunningCalls() const { return running_; }
  // Returns the upstream's service; empty while no upstream is known.
  [[nodiscard]] std::string Service() const;

  served_call Serve(inbound_call& call) override;
  served_call Fence(const attempt_fence& fence) override;
  bool Probe(load_report& load) override;

 private:
  served_call QueueAndRun(const std::shared_ptr<upstream_lifecycle>& upstream,
                          inbound_call& call);
  served_call RunAdmitted(const std::shared_ptr<upstream_lifecycle>& upstream,
                          inbound_call& call);
  served_call SendToUpstream(
      const std::shared_ptr<upstream_lifecycle>& upstream, inbound_call& call);
  void UpdateQueuePause(upstream_lifecycle& upstream, time_point now);
  void HealthLoop();
  [[nodiscard]] bool NeedsHealthChecks(
      const upstream_lifecycle& upstream) const;
  void CheckHealth(const std::shared_ptr<upstream_lifecycle>& upstream);
  [[nodiscard]] std::unique_ptr<http_client> MakeHealthClient(
      const endpoint& address);
  void FindUpstream();
  void AdvanceLoop();
  [[nodiscard]] bool IsEarlierIncarnation(std::string_view instance,
                                          std::int64_t started_at_ms) const;
  // Returns whether `announced` is of an incarnation that is not the newest, or
  // has left.
  [[nodiscard]] bool IsStale(const instance_announcement& announced) const;
  [[nodiscard]] bool HasLeft(const instance_announcement& announced) const;
  // Returns the instance that answered the last health check as healthy; empty
  // if none did.
  [[nodiscard]] std::string_view AnsweringInstance() const;
  [[nodiscard]] bool MayBeLaterIncarnation(
      const instance_announcement& announced) const;
  // Keeps the announcement, if it is the newest of those that are held, until
  // ApplyHeldAnnouncement.
  void HoldAnnouncement(const instance_announcement& announced);
  void ApplyHeldAnnouncement();
  // Applies the held announcement if the last health check answered for it.
  void ApplyProvedAnnouncement();
  void ReplaceUpstream(const instance_announcement& announced);
  void DrainUpstream(upstream_lifecycle& upstream);
  [[nodiscard]] load_report Report();

  io_loop& loop_;
  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  const platform_codec& codec_;
  const instance_server_options options_;
  fiber_group* fibers_ = nullptr;
  std::function<void(const instance_announcement&, bool)> on_change_;
  std::string health_path_ = "/health";
  // Also of upstreams that were not known when they left.
  departure_tracker departures_;
  // Waits for the departures to be read, or for a health check.
  std::optional<instance_announcement> held_announcement_;
  // Answered the last health check while no upstream was known.
  std::string found_instance_;
  // Increases with each leave. A health check that began before proves nothing.
  std::uint64_t departure_count_ = 0;
  std::shared_ptr<upstream_lifecycle> upstream_;
  std::uint64_t report_sequence_ = 0;
  std::size_t running_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
