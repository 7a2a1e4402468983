#include "controllers/service_directory.h"

#include <algorithm>
#include <mutex>
#include <ranges>
#include <utility>

#include "base/event_log.h"
#include "controllers/serving_controller.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "settings/settings_codec.h"
#include "settings/settings_messages.h"

namespace hornbeam {

namespace {

constexpr std::size_t kMaxServices = 1024;
constexpr duration kConfirmRetryDelay = std::chrono::milliseconds(100);

}  // namespace

service_directory::service_directory(const clock_source& clock,
                                     random_source& random, event_log& log,
                                     const upstream_lease& self,
                                     serving_controller& serving,
                                     const directory_options& options)
    : clock_(clock),
      random_(random),
      log_(log),
      serving_(serving),
      options_(options),
      self_(self) {}

service_directory::~service_directory() = default;

void service_directory::Start(control_client& control, fiber_group& fibers) {
  control_ = &control;
  fibers_ = &fibers;
  fibers.Start([this] { LeaseLoop(); });
  fibers.Start([this] { ConfirmLoop(); });
}

void service_directory::Stop() {
  stopped_ = true;
  changed_.notify_all();
}

std::shared_ptr<service_state> service_directory::Find(std::string_view service,
                                                       time_point deadline) {
  auto state = FindOrWatch(service);
  if (!state || state->IsComplete()) return state;
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline, [this, &state] {
    return stopped_ || state->IsComplete();
  });
  return state->IsComplete() ? state : nullptr;
}

std::shared_ptr<service_state> service_directory::FindOrWatch(
    std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  if (services_.size() >= kMaxServices) EvictUnknownServices();
  if (services_.size() >= kMaxServices) return nullptr;
  const auto state =
      std::make_shared<service_state>(std::string(service), clock_, random_);
  services_.emplace(std::string(service), state);
  SendWatch(*state);
  fibers_->Start([this, state] { Confirm(state); });
  return state;
}

std::vector<std::shared_ptr<service_state>> service_directory::Services()
    const {
  const auto services = services_ | std::views::values;
  return {services.begin(), services.end()};
}

// Removes services without settings and upstreams. Callers can request
// arbitrary names, which must not exhaust memory.
void service_directory::EvictUnknownServices() {
  std::erase_if(services_, [](const auto& entry) {
    return entry.second->IsComplete() && !entry.second->IsKnown();
  });
}

bool service_directory::IsKnown(std::string_view service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second->IsKnown();
}

void service_directory::RenewLease() {
  if (lease_ended_ || control_ == nullptr) return;
  UpdateOwnLease();
  control_->SendToRegistrar(
      lease_renewal{.lease = self_, .settings_revision = store_revision_});
}

void service_directory::BeginDrain() {
  draining_ = true;
  RenewLease();
}

void service_directory::EndLease() {
  lease_ended_ = true;
  control_->SendToRegistrar(
      lease_end{.node = self_.node, .incarnation = self_.incarnation});
}

void service_directory::OnRegistrarUp() {
  log_.Write(
      event_id::kRegistrarConnected,
      {{"node", self_.node}, {"registrar", control_->Registrar().ToString()}});
  RenewLease();
  for (const auto& service : services_ | std::views::values)
    SendWatch(*service);
}

void service_directory::OnRegistrarMessage(message content) {
  if (const auto* update = std::get_if<membership_update>(&content)) {
    const auto found = services_.find(update->service);
    if (found == services_.end()) return;
    found->second->ApplyMembershipUpdate(*update, self_);
    log_.Write(event_id::kMembershipChanged,
               {{"service", update->service},
                {"whole", update->complete},
                {"present", update->active_leases.size()},
                {"gone", update->removed_nodes.size()}});
    changed_.notify_all();
  } else if (const auto* settings = std::get_if<settings_update>(&content)) {
    ApplySettings(*settings);
  } else if (const auto* granted = std::get_if<lease_granted>(&content)) {
    registrar_synced_ = registrar_synced_ || granted->settled;
  }
}

void service_directory::OnRegistrarDown() {
  log_.Write(
      event_id::kLeaseRenewalFailed,
      {{"node", self_.node}, {"registrar", control_->Registrar().ToString()}});
}

void service_directory::LeaseLoop() {
  while (!stopped_) {
    if (serving_.ExpireAnnouncement()) {
      log_.Write(event_id::kUpstreamAnnounced, {{"slots", 0}});
    }
    RenewLease();
    io_loop::SleepFor(options_.lease_interval);
  }
}

void service_directory::ConfirmLoop() {
  while (!stopped_ && !ConfirmRevision()) {
    io_loop::SleepFor(kConfirmRetryDelay);
  }
}

// Reads the revision of the settings store with quorum confirmation. Returns
// false when no confirmed reply arrived in time.
bool service_directory::ConfirmRevision() {
  const auto reply = control_->Query(store_id::kSettings,
                                     EncodeSettingsQuery(revision_query{}),
                                     clock_.Now() + options_.read_timeout);
  if (!reply) return false;
  const auto list = DecodeDocumentList(reply.value());
  if (!list) return false;
  RaiseRevision(list->store_revision);
  confirmed_ = true;
  changed_.notify_all();
  return true;
}

void service_directory::SendWatch(const service_state& service) {
  control_->SendToRegistrar(service_watch{
      .service = service.Name(), .known_revision = service.Revision()});
}

void service_directory::Confirm(const std::shared_ptr<service_state>& service) {
  const std::string query =
      EncodeSettingsQuery(service_changes_query{.services = {service->Name()}});
  while (!stopped_ && !service->IsConfirmed()) {
    const auto reply = control_->Query(store_id::kSettings, query,
                                       clock_.Now() + options_.read_timeout);
    const auto list = reply ? DecodeDocumentList(reply.value()) : std::nullopt;
    if (!list) {
      io_loop::SleepFor(kConfirmRetryDelay);
      continue;
    }
    for (const change_record& change : list->documents) {
      ApplySettings({.service = service->Name(),
                     .store_revision = change.store_revision,
                     .document = change.document.value_or(std::string())});
    }
    service->Confirm();
    changed_.notify_all();
  }
}

void service_directory::ApplySettings(const settings_update& update) {
  const auto found = services_.find(update.service);
  const bool applied = found != services_.end() &&
                       found->second->ApplySettings(update.store_revision,
                                                    update.document, self_);
  if (applied) {
    log_.Write(
        event_id::kSettingsInForce,
        {{"service", update.service}, {"revision", update.store_revision}});
    ApplyToServing();
    RenewLease();
  }
  RaiseRevision(update.store_revision);
}

// Applies the settings of the local upstream's service to the serving
// controller.
void service_directory::ApplyToServing() {
  const auto announced = serving_.Announced();
  if (!announced) return;
  const auto found = services_.find(announced->service);
  if (found == services_.end()) return;
  serving_.SetAdmission(found->second->Policy().admission);
  serving_.SetDrainedByOperator(found->second->IsDrained(self_.node));
}

void service_directory::RaiseRevision(std::uint64_t revision) {
  store_revision_ = std::max(store_revision_, revision);
}

// Copies the upstream's announcement into the lease. Any change increments the
// sequence number.
void service_directory::UpdateOwnLease() {
  upstream_lease lease = self_;
  const auto announced = serving_.Announced();
  if (announced && announced->service != self_.service) {
    FindOrWatch(announced->service);
    ApplyToServing();
  }
  lease.service = announced ? announced->service : std::string();
  lease.slots = announced ? announced->slots : 0;
  lease.draining = draining_ || serving_.IsDraining();
  if (lease == self_) return;
  lease.sequence = self_.sequence + 1;
  self_ = lease;
}

}  // namespace hornbeam
