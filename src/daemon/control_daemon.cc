#include "daemon/control_daemon.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/gauge.h"
#include "base/metrics_registry.h"
#include "base/process_incarnation.h"
#include "base/process_metrics.h"
#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "controllers/control_service.h"
#include "controllers/leader_client.h"
#include "controllers/operator_handler.h"
#include "controllers/replica_host.h"
#include "controllers/replica_mesh.h"
#include "controllers/store_forwarder.h"
#include "daemon/daemon_settings.h"
#include "daemon/local_handler.h"
#include "daemon/stop_signals.h"
#include "daemon/store_factory.h"
#include "http/http_server.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "replication/file_log_storage.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr int kExitBindFailed = 3;
constexpr int kExitIncomplete = 4;
constexpr int kExitStorageFailed = 5;
constexpr duration kFiberStopTimeout = std::chrono::seconds(5);
// A follower campaigns after one to two election timeouts; the third one is for
// the votes.
constexpr int kElectionRounds = 3;

// Time limit for handing over votes and leadership before the process stops. It
// takes a few round trips if a successor has caught up.
constexpr duration kHandOverTimeout = std::chrono::seconds(2);
constexpr duration kHandOverPollInterval = std::chrono::milliseconds(10);

// Large enough for a routing table of about ten thousand routes.
constexpr std::size_t kMaxOperatorBodyBytes = std::size_t{16} << 20U;

constexpr metric_family kMeshBytes{
    "hornbeam_replica_bytes_total",
    "Bytes to and from other control VMs so far."};
constexpr metric_family kLeases{"hornbeam_leases",
                                "Nodes whose lease this control VM knows."};

constexpr metric_family kFailedStorages{
    "hornbeam_failed_storages",
    "Stores whose replica takes no part because its disk failed."};

// All components of one control process. Created, run and destroyed by
// RunControl on the I/O thread.
class control_daemon {
 public:
  control_daemon(const daemon_settings& settings, event_log& log,
                 const platform_codec* codec)
      : settings_(settings),
        log_(log),
        codec_(codec),
        random_(seeded_random_source::MakeSystemSeed()),
        self_{settings.process.name, MakeIncarnation(clock_, random_)},
        metrics_(clock_),
        process_metrics_(metrics_),
        signals_(loop_),
        mesh_(loop_, clock_, self_, settings.listen.peers,
              settings.control_addresses),
        forwarder_(clock_, mesh_),
        gate_(MakeSettingsGate(settings.teams)),
        local_(
            metrics_, [this] { return service_ && service_->IsReady(); },
            [this] { Sample(); }) {}

  int Run() {
    if (!MakeStores()) return kExitStorageFailed;
    service_ = std::make_unique<control_service>(
        clock_, log_, self_,
        control_stores{.settings = settings_store_.get(),
                       .ledger = ledger_store_.get(),
                       .routing = routing_store_.get(),
                       .settings_gate = *gate_},
        mesh_, forwarder_,
        control_service_options{
            .lease_duration = settings_.limits.lease_duration,
            .lease_interval = settings_.limits.lease_interval,
            .isolation_limit =
                std::chrono::milliseconds(settings_.control.isolation_limit),
            .availability_zone = settings_.process.availability_zone,
            .own_address = settings_.listen.peers.ToString()});
    if (!Listen()) return kExitBindFailed;
    mesh_.Start(fibers_);
    service_->Start(fibers_);
    peers_->Start(*service_, fibers_);
    local_server_->Start(local_, fibers_);
    if (operator_server_) operator_server_->Start(*operators_, fibers_);
    log_.Write(event_id::kProcessStarted,
               {{"role", "control"},
                {"name", settings_.process.name},
                {"peers", settings_.listen.peers.ToString()}});
    signals_.WaitForStop();
    log_.Write(event_id::kProcessDraining, {{"name", settings_.process.name}});
    HandOver();
    return Stop();
  }

 private:
  // With a platform's codec the only store is the routing table.
  bool MakeStores() {
    if (codec_ != nullptr) {
      routing_store_ = MakeStore(store_id::kRouting, "routing");
      return routing_store_ != nullptr;
    }
    settings_store_ = MakeStore(store_id::kSettings, "settings");
    ledger_store_ = MakeStore(store_id::kLedger, "ledger");
    return settings_store_ && ledger_store_;
  }

  std::unique_ptr<replica_host> MakeStore(store_id store,
                                          const std::string& store_name) {
    const auto directory =
        std::filesystem::path(settings_.data_folder) / store_name;
    auto storage =
        file_log_storage::MakeFileLogStorage(directory, random_.Next());
    if (!storage) return ReportStorageError(storage.error());
    const control_settings& control = settings_.control;
    replica_options options{.name = settings_.listen.peers.ToString(),
                            .store_name = store_name,
                            .heartbeat_interval = control.heartbeat_interval,
                            .election_timeout = control.election_timeout};
    if (control.tolerated_losses > 0) {
      options.target_voters = 2 * control.tolerated_losses + 1;
    }
    const bool is_configured = std::ranges::find(settings_.control_addresses,
                                                 settings_.listen.peers) !=
                               settings_.control_addresses.end();
    options.may_found =
        control.may_found && (is_configured || control.tolerated_losses == 0);
    std::ranges::transform(settings_.control_addresses,
                           std::back_inserter(options.configured_names),
                           &endpoint::ToString);
    transports_.push_back(mesh_.MakeTransport(store));
    auto host = replica_host::MakeReplicaHost(
        std::move(options), {.machine = MakeStateMachine(store),
                             .storage = std::move(storage).value(),
                             .transport = *transports_.back(),
                             .clock = clock_,
                             .random = random_,
                             .events = log_,
                             .post = [this](std::function<void()> task) {
                               loop_.Post(std::move(task));
                             }});
    if (!host) return ReportStorageError(host.error());
    return std::move(host).value();
  }

  std::unique_ptr<replica_host> ReportStorageError(const storage_error& error) {
    log_.Write(event_id::kProcessFailed, {{"reason", error.detail}});
    return nullptr;
  }

  bool Listen() {
    const endpoint& local = settings_.listen.local;
    local_server_ = http_server::MakeHttpServer(loop_, local.host, local.port,
                                                http_server_options{}, clock_);
    peers_ = frame_listener::MakeFrameListener(loop_, settings_.listen.peers,
                                               clock_);
    const bool operators_ready = codec_ == nullptr || ListenForOperators();
    if (local_server_ && peers_ && operators_ready) return true;
    log_.Write(event_id::kProcessFailed,
               {{"reason", "an address in section [listen] is in use"}});
    return false;
  }

  bool ListenForOperators() {
    const endpoint address =
        settings_.listen.operators.value_or(settings_.listen.local);
    routing_leader_ = std::make_unique<leader_client>(
        clock_, *routing_store_, forwarder_,
        leader_client_options{
            .store = store_id::kRouting,
            .cut_off_after =
                kElectionRounds * settings_.control.election_timeout});
    operators_ = std::make_unique<operator_handler>(
        clock_, log_, *codec_, *routing_store_, *routing_leader_,
        operator_options{});
    operator_server_ = http_server::MakeHttpServer(
        loop_, address.host, address.port,
        http_server_options{.body_limit_bytes = kMaxOperatorBodyBytes}, clock_);
    return operator_server_ != nullptr;
  }

  // The process serves on meanwhile. Afterwards the control group bears as many
  // losses as before, as far as there are VMs to take the votes.
  void HandOver() {
    const time_point started = clock_.Now();
    const auto stores = Stores();
    for (replica_host* store : stores) store->BeginLeave();
    const auto is_done = [&stores] {
      return std::ranges::all_of(stores, [](const replica_host* store) {
        return store->Status().ready_to_stop;
      });
    };
    while (!is_done() && !signals_.IsStopForced() &&
           clock_.Now() - started < kHandOverTimeout) {
      io_loop::SleepFor(kHandOverPollInterval);
    }
    log_.Write(event_id::kControlHandedOver,
               {{"name", settings_.process.name},
                {"done", is_done()},
                {"elapsed_ms", (clock_.Now() - started).count() / 1000}});
  }

  int Stop() {
    if (operator_server_) operator_server_->Drain();
    local_server_->Drain();
    peers_->Stop();
    service_->Stop();
    mesh_.Stop();
    const bool fibers_stopped =
        fibers_.WaitEmpty(clock_.Now() + kFiberStopTimeout);
    log_.Write(event_id::kProcessStopped, {{"name", settings_.process.name}});
    // Fibers that still run refer to this object.
    if (!fibers_stopped) std::quick_exit(kExitIncomplete);
    return 0;
  }

  [[nodiscard]] std::vector<replica_host*> Stores() const {
    std::vector<replica_host*> stores = {
        settings_store_.get(), ledger_store_.get(), routing_store_.get()};
    std::erase(stores, nullptr);
    return stores;
  }

  void Sample() {
    process_metrics_.Sample();
    metrics_.GetCounter(kMeshBytes)
        .RaiseTo(static_cast<double>(mesh_.TotalBytes()));
    metrics_.GetGauge(kLeases).Set(static_cast<double>(service_->LeaseCount()));
    const auto stores = Stores();
    metrics_.GetGauge(kFailedStorages)
        .Set(static_cast<double>(
            std::ranges::count_if(stores, [](const replica_host* store) {
              return !store->Status().storage_fault.empty();
            })));
  }

  const daemon_settings& settings_;
  event_log& log_;
  const platform_codec* const codec_;  // Null without a platform.
  system_clock_source clock_;
  seeded_random_source random_;
  const process_identity self_;
  io_loop loop_;
  fiber_group fibers_;
  metrics_registry metrics_;
  process_metrics process_metrics_;
  stop_signals signals_;
  replica_mesh mesh_;
  store_forwarder forwarder_;
  std::vector<std::unique_ptr<replica_transport>> transports_;
  std::unique_ptr<proposal_gate> gate_;
  std::unique_ptr<replica_host> settings_store_;
  std::unique_ptr<replica_host> ledger_store_;
  std::unique_ptr<replica_host> routing_store_;
  local_handler local_;
  std::unique_ptr<control_service> service_;
  std::unique_ptr<leader_client> routing_leader_;
  std::unique_ptr<operator_handler> operators_;
  std::unique_ptr<http_server> operator_server_;
  std::unique_ptr<http_server> local_server_;
  std::unique_ptr<frame_listener> peers_;
};

}  // namespace

int RunControl(const daemon_settings& settings, event_log& log,
               const platform_codec* codec) {
  return std::make_unique<control_daemon>(settings, log, codec)->Run();
}

}  // namespace hornbeam
