#include "daemon/routed_node_daemon.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/metrics_registry.h"
#include "base/process_incarnation.h"
#include "base/process_metrics.h"
#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "controllers/departure_store.h"
#include "controllers/fleet_directory.h"
#include "controllers/instance_handler.h"
#include "controllers/instance_server.h"
#include "controllers/routed_ingress.h"
#include "daemon/config_errors.h"
#include "daemon/daemon_settings.h"
#include "daemon/stop_signals.h"
#include "http/http_server.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "wire/call_server.h"
#include "wire/control_client.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr int kExitBindFailed = 3;
constexpr int kExitIncomplete = 4;
constexpr duration kDrainPollInterval = std::chrono::milliseconds(20);
constexpr duration kFiberStopTimeout = std::chrono::milliseconds(200);
// Part of the platform's grace time in which the process itself ends, after its
// calls have completed or the drain was given up.
constexpr duration kExitReserve = std::chrono::milliseconds(500);
// The platform checks readiness once a second and directs callers to other
// nodes after two failed checks; until then callers still arrive.
constexpr duration kUnreadyDetectionDelay = std::chrono::milliseconds(2600);
constexpr duration kCountLogInterval = std::chrono::seconds(5);

// Returns the index of the control VM whose address shares the longest prefix
// with this node's address. Platforms number the VMs of a zone within one
// network, so that one is probably in the same zone. Only a preference.
std::size_t NearestControl(const daemon_settings& settings) {
  const std::string& own = settings.listen.peers.host;
  const auto common = [&own](const endpoint& address) {
    const auto ends = std::ranges::mismatch(own, address.host);
    return ends.in1 - own.begin();
  };
  const auto nearest =
      std::ranges::max_element(settings.control_addresses, {}, common);
  return static_cast<std::size_t>(nearest - settings.control_addresses.begin());
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

http_server_options MakeHttpOptions(const limit_settings& limits) {
  return {.header_limit_bytes = limits.header_bytes,
          .body_limit_bytes = limits.request_body_bytes,
          .total_body_limit_bytes = limits.receiving_body_bytes,
          .connection_limit = limits.caller_connections,
          .transfer_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout};
}

upstream_lease MakeOwnLease(const daemon_settings& settings,
                            std::uint64_t incarnation) {
  return {.node = settings.process.name,
          .incarnation = incarnation,
          .sequence = 1,
          .peers_address = settings.listen.peers.ToString(),
          .region = settings.process.region,
          .availability_zone = settings.process.availability_zone};
}

// All components of one node process. Created, run and destroyed by
// RunRoutedNode on the I/O thread. Members are declared in the order of their
// dependencies.
class routed_node_daemon {
 public:
  routed_node_daemon(const daemon_settings& settings, std::string settings_path,
                     event_log& log, const platform_codec& codec)
      : settings_(settings),
        settings_path_(std::move(settings_path)),
        log_(log),
        random_(seeded_random_source::MakeSystemSeed()),
        self_{settings.process.name, MakeIncarnation(clock_, random_)},
        metrics_(clock_),
        process_metrics_(metrics_),
        signals_(loop_),
        directory_(
            clock_, log, MakeOwnLease(settings, self_.incarnation),
            fleet_options{.lease_interval = settings.limits.lease_interval}),
        control_(control_client::MakeControlClient(
            loop_, clock_, self_, settings.control_addresses,
            NearestControl(settings), &directory_,
            ControlSilenceTimeout(settings.limits))),
        departures_(departure_store::MakeReplicatedStore(clock_, *control_)),
        server_(loop_, clock_, log, self_, codec,
                instance_server_options{
                    .answer_limit_bytes = settings.limits.response_body_bytes,
                    .total_answer_limit_bytes =
                        settings.limits.receiving_body_bytes,
                    .upstream = settings.listen.upstream,
                    .service = settings.process.service,
                    .is_known_service =
                        [this](std::string_view service) {
                          const auto table = directory_.Table();
                          return table && table->Table().services.contains(
                                              std::string(service));
                        },
                    .departures = departures_.get()}),
        terms_(ReadTerms(settings, codec)),
        ingress_(loop_, clock_, random_, log, self_,
                 settings.process.availability_zone, codec, directory_, server_,
                 MakeIngressOptions(settings, terms_)),
        calls_(clock_, log, self_, server_, call_fibers_,
               call_server_options{
                   .body_limit_bytes = settings.limits.request_body_bytes,
                   .answer_store_bytes = settings.limits.response_body_bytes}),
        handler_(
            clock_, codec, log, server_,
            [this] { return !stopping_ && directory_.IsReady(); },
            [this] {
              process_metrics_.Sample();
              return metrics_.FormatText();
            }) {}

  int Run() {
    if (!Listen()) return kExitBindFailed;
    signals_.SetHangUpHandler([this] { Reload(); });
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
  // Terms that cannot be parsed do not keep the node from starting: it then
  // uses the built-in limits.
  platform_terms ReadTerms(const daemon_settings& settings,
                           const platform_codec& codec) {
    const auto read = codec.ReadTerms(settings.process.platform_terms);
    if (!read) {
      log_.Write(event_id::kPlatformTermsRead,
                 {{"taken", false}, {"reason", read.error().reason}});
      return {};
    }
    const platform_terms& terms = read.value();
    log_.Write(
        event_id::kPlatformTermsRead,
        {{"taken", true},
         {"repeat_share", terms.retry_share.value_or(0)},
         {"repeat_slack", terms.retry_slack.value_or(0)},
         {"grace_ms", terms.stop_grace.value_or(duration(0)).count() / 1000}});
    return terms;
  }

  static ingress_options MakeIngressOptions(const daemon_settings& settings,
                                            const platform_terms& terms) {
    ingress_options options;
    if (terms.retry_share && terms.retry_slack) {
      options.retries =
          MakeSharedBudget(*terms.retry_share, *terms.retry_slack);
    }
    options.link.silence_timeout = settings.limits.peer_silence_timeout;
    options.link.answer_limit_bytes = settings.limits.response_body_bytes;
    options.link.status_grace = std::chrono::milliseconds(100);
    return options;
  }

  std::unique_ptr<http_server> Serve(const endpoint& address) {
    return http_server::MakeHttpServer(loop_, address.host, address.port,
                                       MakeHttpOptions(settings_.limits),
                                       clock_);
  }

  bool Listen() {
    const listen_settings& listen = settings_.listen;
    callers_server_ = Serve(*listen.callers);
    local_server_ = Serve(listen.local);
    if (listen.announcements) {
      announcement_server_ = Serve(*listen.announcements);
    }
    peers_ = frame_listener::MakeFrameListener(loop_, listen.peers, clock_);
    const bool announcements_ready =
        !listen.announcements || announcement_server_;
    if (callers_server_ && local_server_ && announcements_ready && peers_) {
      return true;
    }
    log_.Write(event_id::kProcessFailed,
               {{"reason", "an address in section [listen] is in use"}});
    return false;
  }

  void StartAll() {
    ingress_.SetOwnService(settings_.process.service);
    server_.Start(
        fibers_, [this](const instance_announcement& announced, bool draining) {
          ingress_.SetOwnService(announced.service);
          directory_.SetOwnUpstream(announced.service, announced.instance,
                                    announced.slots, draining);
        });
    ingress_.Start(fibers_);
    control_->Start(fibers_);
    directory_.Start(*control_, fibers_);
    peers_->Start(calls_, fibers_);
    local_server_->Start(handler_, fibers_);
    if (announcement_server_) announcement_server_->Start(handler_, fibers_);
    callers_server_->Start(ingress_, caller_fibers_);
    fibers_.Start([this] { LogCountsLoop(); });
  }

  void LogCountsLoop() {
    time_point next = clock_.Now() + kCountLogInterval;
    while (!stopped_) {
      io_loop::SleepFor(kCountLogInterval / 5);
      if (clock_.Now() < next) continue;
      next = clock_.Now() + kCountLogInterval;
      ingress_.LogCounts();
    }
  }

  // Reads the settings file again. Only new control addresses take effect
  // without a restart.
  void Reload() {
    const auto read = ReadDaemonSettingsFile(settings_path_);
    if (!read) {
      log_.Write(
          event_id::kProcessReloaded,
          {{"taken", false},
           {"faults", FormatConfigErrors(settings_path_, read.error())}});
      return;
    }
    const auto change = control_->SetConfigured(read.value().control_addresses);
    log_.Write(event_id::kProcessReloaded,
               {{"taken", true},
                {"controls", control_->ControlCount()},
                {"added", change.added},
                {"forgotten", change.forgotten},
                {"rejected", change.rejected}});
  }

  // Other nodes use other upstreams immediately; callers still arrive until the
  // platform has detected that this node is not ready. After that, connections
  // are closed, and the last requests on them run only if they end before the
  // process does. Calls that have begun complete. Returns the exit code.
  int Drain() {
    log_.Write(event_id::kProcessDraining, {{"node", settings_.process.name}});
    const time_point limit = clock_.Now() + DrainTimeout();
    stopping_ = true;
    directory_.BeginDrain();
    server_.BeginDrain();
    io_loop::SleepFor(kUnreadyDetectionDelay);
    ingress_.BeginDrain(limit);
    callers_server_->Drain();
    const bool all_completed = WaitWhile(limit, [this] {
      return caller_fibers_.size() > 0 || server_.RunningCalls() > 0 ||
             calls_.UndeliveredCalls() > 0;
    });
    directory_.EndLease();
    ingress_.LogCounts();
    StopAll();
    const time_point stop_limit = clock_.Now() + kFiberStopTimeout;
    const bool fibers_stopped = fibers_.WaitEmpty(stop_limit) &&
                                call_fibers_.WaitEmpty(stop_limit) &&
                                caller_fibers_.WaitEmpty(stop_limit);
    log_.Write(event_id::kProcessStopped,
               {{"node", settings_.process.name}, {"whole", all_completed}});
    // Fibers that still run refer to this object.
    if (!fibers_stopped) std::quick_exit(all_completed ? 0 : kExitIncomplete);
    return all_completed ? 0 : kExitIncomplete;
  }

  // Calls may complete for as long as the platform lets the process run.
  [[nodiscard]] duration DrainTimeout() const {
    if (!terms_.stop_grace) return settings_.limits.drain_timeout;
    return std::max(*terms_.stop_grace - kExitReserve, duration(0));
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
    stopped_ = true;
    local_server_->Drain();
    if (announcement_server_) announcement_server_->Drain();
    peers_->Stop();
    calls_.Stop();
    directory_.Stop();
    server_.Stop();
    ingress_.Stop();
    control_->Stop();
  }

  const daemon_settings& settings_;
  const std::string settings_path_;
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
  fleet_directory directory_;
  std::unique_ptr<control_client> control_;
  std::unique_ptr<departure_store> departures_;
  instance_server server_;
  const platform_terms terms_;
  routed_ingress ingress_;
  call_server calls_;
  instance_handler handler_;
  std::unique_ptr<http_server> callers_server_;
  std::unique_ptr<http_server> local_server_;
  std::unique_ptr<http_server> announcement_server_;
  std::unique_ptr<frame_listener> peers_;
  bool stopping_ = false;
  bool stopped_ = false;
};

}  // namespace

int RunRoutedNode(const daemon_settings& settings,
                  const std::string& settings_path, event_log& log,
                  const platform_codec& codec) {
  return std::make_unique<routed_node_daemon>(settings, settings_path, log,
                                              codec)
      ->Run();
}

}  // namespace hornbeam
