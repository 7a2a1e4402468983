#include "daemon/node_daemon.h"

#include <functional>
#include <memory>
#include <string>

#include "base/event_log.h"
#include "base/gauge.h"
#include "base/metrics_registry.h"
#include "base/process_incarnation.h"
#include "base/process_metrics.h"
#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "controllers/call_router.h"
#include "controllers/probe_controller.h"
#include "controllers/service_directory.h"
#include "controllers/serving_controller.h"
#include "daemon/daemon_settings.h"
#include "daemon/local_handler.h"
#include "daemon/stop_signals.h"
#include "filters/filter_chain.h"
#include "filters/ingress_filters.h"
#include "http/http_server.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "ledger/claim_coordinator.h"
#include "wire/call_server.h"
#include "wire/control_client.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr int kExitBindFailed = 3;
constexpr int kExitIncomplete = 4;
// Lets the draining lease reach the other nodes before this node rejects calls.
constexpr duration kDrainPropagationDelay = std::chrono::milliseconds(300);
constexpr duration kDrainPollInterval = std::chrono::milliseconds(20);
constexpr duration kFiberStopTimeout = std::chrono::seconds(5);

constexpr metric_family kControlBytes{
    "hornbeam_control_bytes_total",
    "Bytes to and from the control VMs so far."};

http_server_options MakeHttpOptions(const limit_settings& limits) {
  return {.header_limit_bytes = limits.header_bytes,
          .body_limit_bytes = limits.request_body_bytes,
          .total_body_limit_bytes = limits.receiving_body_bytes,
          .connection_limit = limits.caller_connections,
          .transfer_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

// Returns three eighths of the lease duration. With a renewal interval of a
// quarter of the lease, a silent connection is then replaced and the lease
// renewed before it expires.
duration ControlSilenceTimeout(const limit_settings& limits) {
  constexpr int kSilenceDenominator = 8;
  constexpr int kSilenceNumerator = 3;
  return duration(limits.lease_duration) * kSilenceNumerator /
         kSilenceDenominator;
}

upstream_lease MakeOwnLease(const daemon_settings& settings,
                            std::uint64_t incarnation) {
  return {.node = settings.process.name,
          .incarnation = incarnation,
          .sequence = 1,
          .peers_address =
              settings.listen.advertised_peers.value_or(settings.listen.peers)
                  .ToString(),
          .region = settings.process.region,
          .availability_zone = settings.process.availability_zone};
}

// All components of one node process. Created, run and destroyed by RunNode on
// the I/O thread. Members are declared in the order of their dependencies.
class node_daemon {
 public:
  node_daemon(const daemon_settings& settings, event_log& log)
      : settings_(settings),
        log_(log),
        random_(seeded_random_source::MakeSystemSeed()),
        self_{settings.process.name, MakeIncarnation(clock_, random_)},
        metrics_(clock_),
        process_metrics_(metrics_),
        signals_(loop_),
        serving_(loop_, clock_, log, self_,
                 serving_options{.answer_limit_bytes =
                                     settings.limits.response_body_bytes}),
        directory_(clock_, random_, log,
                   MakeOwnLease(settings, self_.incarnation), serving_,
                   directory_options{.lease_interval =
                                         settings.limits.lease_interval}),
        control_(control_client::MakeControlClient(
            loop_, clock_, self_, settings.control_addresses,
            std::hash<std::string>()(settings.process.name), &directory_,
            ControlSilenceTimeout(settings.limits))),
        router_(loop_, clock_, random_, log, self_, serving_,
                call_link_options{
                    .silence_timeout = settings.limits.peer_silence_timeout,
                    .answer_limit_bytes = settings.limits.response_body_bytes}),
        probes_(clock_, directory_, router_),
        calls_(clock_, log, self_, serving_, call_fibers_,
               call_server_options{
                   .body_limit_bytes = settings.limits.request_body_bytes,
                   .answer_store_bytes = settings.limits.response_body_bytes}),
        coordinator_(*control_, clock_, random_),
        chain_(clock_, random_,
               MakeIngressFilters({.clock = clock_,
                                   .log = log,
                                   .metrics = metrics_,
                                   .directory = directory_,
                                   .router = router_,
                                   .coordinator = coordinator_,
                                   .background = call_fibers_,
                                   .ingress = settings.process.name})),
        local_(
            metrics_, [this] { return directory_.IsReady(); },
            [this] { Sample(); }, serving_, directory_) {}

  int Run() {
    if (!Listen()) return kExitBindFailed;
    StartAll();
    log_.Write(event_id::kProcessStarted,
               {{"role", "node"},
                {"node", settings_.process.name},
                {"incarnation", self_.incarnation},
                {"callers", settings_.listen.callers->ToString()},
                {"peers", settings_.listen.peers.ToString()}});
    signals_.WaitForStop();
    return Drain();
  }

 private:
  bool Listen() {
    const endpoint& callers = *settings_.listen.callers;
    const endpoint& local = settings_.listen.local;
    const http_server_options options = MakeHttpOptions(settings_.limits);
    callers_server_ = http_server::MakeHttpServer(
        loop_, callers.host, callers.port, options, clock_);
    local_server_ = http_server::MakeHttpServer(loop_, local.host, local.port,
                                                options, clock_);
    peers_ = frame_listener::MakeFrameListener(loop_, settings_.listen.peers,
                                               clock_);
    if (callers_server_ && local_server_ && peers_) return true;
    log_.Write(event_id::kProcessFailed,
               {{"reason", "an address in section [listen] is in use"}});
    return false;
  }

  void StartAll() {
    serving_.Start(fibers_);
    router_.Start(fibers_);
    control_->Start(fibers_);
    directory_.Start(*control_, fibers_);
    probes_.Start(fibers_);
    peers_->Start(calls_, fibers_);
    local_server_->Start(local_, fibers_);
    callers_server_->Start(chain_, caller_fibers_);
  }

  // Stops in an order that loses no call: first no new calls are accepted, then
  // the calls of callers complete, then those of other nodes, and then all
  // components stop. Returns the exit code.
  int Drain() {
    log_.Write(event_id::kProcessDraining, {{"node", settings_.process.name}});
    const time_point limit = clock_.Now() + settings_.limits.drain_timeout;
    directory_.BeginDrain();
    io_loop::SleepFor(kDrainPropagationDelay);
    serving_.BeginDrain();
    callers_server_->Drain();
    const bool all_completed = WaitWhile(limit, [this] {
      return caller_fibers_.size() > 0 || serving_.RunningCalls() > 0 ||
             calls_.UndeliveredCalls() > 0 || call_fibers_.size() > 0;
    });
    directory_.EndLease();
    StopAll();
    const bool fibers_stopped =
        fibers_.WaitEmpty(clock_.Now() + kFiberStopTimeout) &&
        call_fibers_.WaitEmpty(clock_.Now() + kFiberStopTimeout) &&
        caller_fibers_.WaitEmpty(clock_.Now() + kFiberStopTimeout);
    log_.Write(event_id::kProcessStopped,
               {{"node", settings_.process.name}, {"whole", all_completed}});
    // Fibers that still run refer to this object.
    if (!fibers_stopped) std::quick_exit(kExitIncomplete);
    return all_completed ? 0 : kExitIncomplete;
  }

  template <class Condition>
  bool WaitWhile(time_point limit, Condition condition) {
    while (condition()) {
      if (clock_.Now() >= limit || signals_.IsStopForced()) return false;
      io_loop::SleepFor(kDrainPollInterval);
    }
    return true;
  }

  void StopAll() {
    local_server_->Drain();
    peers_->Stop();
    calls_.Stop();
    probes_.Stop();
    directory_.Stop();
    serving_.Stop();
    router_.Stop();
    control_->Stop();
  }

  void Sample() {
    process_metrics_.Sample();
    metrics_.GetCounter(kControlBytes)
        .RaiseTo(static_cast<double>(control_->TotalBytes()));
  }

  const daemon_settings& settings_;
  event_log& log_;
  system_clock_source clock_;
  seeded_random_source random_;
  const process_identity self_;
  io_loop loop_;
  fiber_group fibers_;
  fiber_group call_fibers_;
  fiber_group caller_fibers_;
  metrics_registry metrics_;
  process_metrics process_metrics_;
  stop_signals signals_;
  serving_controller serving_;
  service_directory directory_;
  std::unique_ptr<control_client> control_;
  call_router router_;
  probe_controller probes_;
  call_server calls_;
  claim_coordinator coordinator_;
  filter_chain chain_;
  node_local_handler local_;
  std::unique_ptr<http_server> callers_server_;
  std::unique_ptr<http_server> local_server_;
  std::unique_ptr<frame_listener> peers_;
};

}  // namespace

int RunNode(const daemon_settings& settings, event_log& log) {
  return std::make_unique<node_daemon>(settings, log)->Run();
}

}  // namespace hornbeam
