#include "controllers/control_service.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "base/proposal_gate.h"
#include "controllers/replica_host.h"
#include "controllers/replica_mesh.h"
#include "controllers/store_forwarder.h"
#include "controllers/store_mapping.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "replication/replica_options.h"
#include "routing/routing_codec.h"
#include "settings/settings_codec.h"
#include "settings/settings_messages.h"

namespace hornbeam {

namespace {

// Limit on the watched services of a session, which bounds its memory. A watch
// beyond the limit drops all earlier ones.
constexpr std::size_t kMaxWatches = 4096;
// A longer pause between two push rounds means that the process was suspended.
constexpr duration kMaxRoundInterval = std::chrono::seconds(1);
// Lease intervals after the start of a control VM in which it may not have
// received all leases yet.
constexpr int kSettleIntervals = 2;

// Returns whether this replica counts for a quorum. A replica that lost its
// disk does not until it has caught up.
bool IsVoter(const replica_status& status) {
  return std::ranges::any_of(
      status.replicas, [&status](const replica_peer_status& replica) {
        return replica.voter && replica.incarnation == status.incarnation;
      });
}

}  // namespace

std::vector<replica_host*> control_stores::All() const {
  std::vector<replica_host*> all = {settings, ledger, routing};
  std::erase(all, nullptr);
  return all;
}

// One accepted connection from a node, another control VM or hornbeamctl.
class control_service::session final : public frame_handler {
 public:
  explicit session(control_service& service) : service_(service) {}

  void OnMessage(frame_connection& connection, message content) override {
    if (const auto* greeting = std::get_if<hello>(&content)) {
      HandleHello(connection, *greeting);
      return;
    }
    if (sender_.empty()) {
      connection.Close();
      return;
    }
    Dispatch(connection, std::move(content));
  }

  void OnClosed(frame_connection& /*connection*/) override {
    service_.sessions_.erase(this);
    connection_ = nullptr;
  }

  void Push(const message& content) const {
    if (connection_ != nullptr) connection_->TrySend(content);
  }

  void Close() const {
    if (connection_ != nullptr) connection_->Close();
  }

  // Returns the watched services with the lease version last pushed for each.
  std::map<std::string, std::uint64_t>& Watches() { return watches_; }

  // Starts a routing watch of a peer that has `known_version`.
  void WatchRouting(std::uint64_t known_version) {
    watches_routing_ = true;
    routing_version_ = known_version;
  }
  [[nodiscard]] bool WatchesRouting() const { return watches_routing_; }

  // Tells a peer that may be a node whether this control VM is current, unless
  // it knows.
  void Offer(bool is_current) {
    if (!is_client_ || offered_ == is_current) return;
    const bool sent =
        connection_->TrySend(registrar_offer{.is_current = is_current});
    // The peer must not go on with an outdated table.
    if (!sent) connection_->Close();
    offered_ = is_current;
  }

  void PushRouting(const routing_feed& feed) {
    if (routing_version_ >= feed.Version()) return;
    const bool sent = connection_ != nullptr &&
                      connection_->TrySend(feed.UpdateFor(routing_version_));
    if (sent) routing_version_ = feed.Version();
  }

 private:
  void HandleHello(frame_connection& connection, const hello& greeting) {
    if (greeting.protocol_version != kProtocolVersion) {
      connection.Close();
      return;
    }
    sender_ = greeting.sender;
    connection_ = &connection;
    service_.sessions_.insert(this);
    connection.TrySend(hello{.protocol_version = kProtocolVersion,
                             .sender = service_.self_.name,
                             .incarnation = service_.self_.incarnation,
                             .purpose = greeting.purpose});
    is_client_ = greeting.purpose == connection_purpose::kControl;
    Offer(service_.IsRegistrar());
  }

  void Dispatch(frame_connection& connection, message content) {
    if (const auto* renewal = std::get_if<lease_renewal>(&content)) {
      service_.HandleLease(connection, *renewal);
    } else if (const auto* end = std::get_if<lease_end>(&content)) {
      service_.leases_.End(end->node, end->incarnation, service_.clock_.Now());
    } else if (const auto* watch = std::get_if<service_watch>(&content)) {
      service_.HandleServiceWatch(*this, *watch);
    } else if (const auto* routes = std::get_if<routing_watch>(&content)) {
      service_.HandleRoutingWatch(*this, *routes);
    } else if (auto* request = std::get_if<store_request>(&content)) {
      service_.HandleStore(connection, std::move(*request));
    } else if (const auto* status = std::get_if<status_request>(&content)) {
      service_.HandleStatus(connection, *status);
    } else if (const auto* envelope = std::get_if<replica_envelope>(&content)) {
      service_.HandleReplica(sender_, *envelope);
    } else if (const auto* batch = std::get_if<lease_batch>(&content)) {
      service_.HandleLeaseBatch(sender_, *batch);
    } else if (const auto* keepalive = std::get_if<lease_keepalive>(&content)) {
      service_.HandleKeepalive(sender_, *keepalive);
    } else if (std::holds_alternative<lease_batch_request>(content)) {
      service_.HandleLeaseBatchRequest(sender_);
    } else if (const auto* received_ping = std::get_if<ping>(&content)) {
      connection.TrySend(pong{received_ping->nonce});
    }
  }

  control_service& service_;
  std::string sender_;
  frame_connection* connection_ = nullptr;
  bool watches_routing_ = false;
  bool is_client_ = false;
  std::optional<bool> offered_;
  // Version that the watcher has reported or that was last sent to it.
  std::uint64_t routing_version_ = 0;
  std::map<std::string, std::uint64_t> watches_;
};

control_service::control_service(const clock_source& clock, event_log& log,
                                 const process_identity& self,
                                 control_stores stores, replica_mesh& mesh,
                                 store_forwarder& forwarder,
                                 const control_service_options& options)
    : clock_(clock),
      log_(log),
      self_(self),
      stores_(stores),
      mesh_(mesh),
      options_(options),
      leases_(options.lease_duration),
      forwarder_(forwarder),
      started_at_(clock.Now()),
      leases_broadcast_at_(started_at_),
      last_round_at_(started_at_) {
  locations_.SetZone(options_.own_address, options_.availability_zone);
}

control_service::~control_service() = default;

std::shared_ptr<frame_handler> control_service::MakeFrameHandler() {
  return std::make_shared<session>(*this);
}

void control_service::Start(fiber_group& fibers) {
  fibers.Start([this] { TickLoop(); });
  fibers.Start([this] { LeaseLoop(); });
}

void control_service::Stop() {
  stopped_ = true;
  for (session* each : sessions_) each->Close();
}

bool control_service::IsReady() const {
  const auto is_voter = [](const replica_host* store) {
    return IsVoter(store->Status());
  };
  return std::ranges::all_of(stores_.All(), is_voter) && KnowsLeaders();
}

bool control_service::KnowsLeaders() const {
  return std::ranges::none_of(stores_.All(), [](const replica_host* store) {
    return store->Status().leader.empty();
  });
}

time_point control_service::CurrentAsOf() const {
  time_point oldest = time_point::max();
  for (const replica_host* store : stores_.All()) {
    oldest = std::min(oldest, store->Status().current_as_of);
  }
  return oldest;
}

void control_service::TickLoop() {
  while (!stopped_) {
    const time_point now = clock_.Now();
    for (replica_host* store : stores_.All()) store->Tick(now);
    io_loop::SleepFor(kReplicaTickInterval);
  }
}

void control_service::LeaseLoop() {
  while (!stopped_) {
    io_loop::SleepFor(kPushInterval);
    const time_point now = clock_.Now();
    forwarder_.Expire();
    CheckIsolation(now);
    if (isolated_) continue;
    leases_.Expire(now);
    UpdateControlMembers();
    PushChanges();
    BroadcastLeases(now);
  }
}

// A control VM that is isolated, because it cannot prove that its stores are
// current, or was suspended for a while, receives no renewals, so a missing
// renewal does not show that a node failed.
// It must neither expire leases nor push changes, and nodes move to another
// registrar.
void control_service::CheckIsolation(time_point now) {
  const bool was_suspended = now - last_round_at_ >= kMaxRoundInterval;
  last_round_at_ = now;
  const bool was_isolated = isolated_;
  isolated_ = !IsCurrent(now);
  if (isolated_ != was_isolated) {
    const time_point current = CurrentAsOf();
    const bool was_current = current != time_point::min();
    log_.Write(event_id::kControlIsolated,
               {{"isolated", isolated_},
                {"age_ms", was_current ? (now - current).count() / 1000 : -1},
                {"version", routing_feed_.Version()}});
  }
  OfferToClients();
  if (!was_suspended && (isolated_ || !was_isolated)) return;
  leases_.RefreshAll(now);
  started_at_ = now;
  // The memberships that are complete again have to be pushed once more.
  pushed_settled_ = false;
}

// Nodes of an isolated control VM look for another registrar, so that they do
// not keep outdated tables and settings.
void control_service::OfferToClients() {
  const bool is_registrar = IsRegistrar();
  for (session* each : sessions_) each->Offer(is_registrar);
}

void control_service::BroadcastLeases(time_point now) {
  if (now - leases_broadcast_at_ < options_.lease_interval) return;
  auto ended = leases_.EndedSince(leases_broadcast_at_, now);
  leases_broadcast_at_ = now;
  if (!ended.empty()) mesh_.Broadcast(lease_batch{std::move(ended)});
  lease_keepalive keepalive = leases_.MakeKeepalive(now);
  keepalive.availability_zone = options_.availability_zone;
  mesh_.Broadcast(keepalive);
}

void control_service::HandleLease(frame_connection& connection,
                                  const lease_renewal& renewal) {
  // A node without a reply is told soon and renews its lease elsewhere.
  if (!IsCurrent(clock_.Now())) return;
  const bool changed =
      leases_.Renew(renewal, lease_source::kNode, duration(0), clock_.Now());
  connection.TrySend(
      lease_granted{.sequence = renewal.lease.sequence,
                    .duration_us = ToMicroseconds(options_.lease_duration),
                    .settled = HasSettled()});
  if (!changed) return;
  // A change is sent at once instead of with the next broadcast.
  mesh_.Broadcast(lease_batch{{lease_copy{.renewal = renewal}}});
  log_.Write(event_id::kMembershipChanged,
             {{"node", renewal.lease.node},
              {"service", renewal.lease.service},
              {"sequence", renewal.lease.sequence},
              {"draining", renewal.lease.draining}});
}

void control_service::HandleLeaseBatch(const std::string& sender,
                                       const lease_batch& batch) {
  const time_point now = clock_.Now();
  for (const lease_copy& copy : batch.leases) {
    const upstream_lease& lease = copy.renewal.lease;
    if (copy.ended) {
      leases_.End(lease.node, lease.incarnation, now);
      continue;
    }
    leases_.RenewCopy(copy, sender, now);
  }
}

void control_service::HandleKeepalive(const std::string& sender,
                                      const lease_keepalive& received) {
  if (locations_.SetZone(sender, received.availability_zone)) PushControlList();
  if (leases_.ApplyKeepalive(sender, received, clock_.Now())) return;
  mesh_.Send(sender, lease_batch_request{});
}

void control_service::HandleLeaseBatchRequest(const std::string& sender) {
  mesh_.Send(sender, lease_batch{leases_.LocalCopies(leases_broadcast_at_,
                                                     clock_.Now())});
}

void control_service::HandleServiceWatch(session& watcher,
                                         const service_watch& watch) {
  if (watcher.Watches().size() >= kMaxWatches) watcher.Watches().clear();
  membership_update full_update = leases_.ChangesSince(watch.service, 0);
  full_update.settled = HasSettled();
  watcher.Watches()[watch.service] = HasSettled() ? leases_.Version() : 0;
  watcher.Push(full_update);
  if (stores_.settings == nullptr) return;
  settings_update settings = ReadSettings(watch.service);
  if (settings.store_revision > watch.known_revision) watcher.Push(settings);
}

void control_service::HandleStore(frame_connection& connection,
                                  store_request request) {
  const time_point deadline =
      clock_.Now() + std::chrono::microseconds(request.deadline_us);
  const std::uint64_t correlation = request.correlation;
  replica_host* const found = Store(request.store);
  if (found == nullptr || request.bytes.size() > kMaxCommandBytes) {
    connection.TrySend(store_reply{.correlation = correlation,
                                   .status = store_status::kRejected});
    return;
  }
  replica_host& store = *found;
  const std::string leader = store.Status().leader;
  const bool other_leads =
      !leader.empty() && store.Status().role != replica_role::kLeader;
  const auto send_back =
      [weak = connection.weak_from_this()](const store_reply& forwarded) {
        if (const auto origin = weak.lock()) origin->TrySend(forwarded);
      };
  if (request.may_forward && other_leads &&
      forwarder_.Forward(leader, request, send_back)) {
    return;
  }
  const auto reply = [weak = connection.weak_from_this(), correlation,
                      &store](const replica_reply& result) {
    const auto target = weak.lock();
    if (!target) return;
    store_reply sent{.correlation = correlation};
    sent.status = result ? store_status::kDone : ToStoreStatus(result.error());
    if (result) sent.bytes = result.value();
    if (!result) sent.leader_address = store.Status().leader;
    target->TrySend(sent);
  };
  if (request.operation == store_operation::kQuery) {
    store.Query(std::move(request.bytes), deadline, reply);
    return;
  }
  if (request.store == store_id::kSettings) {
    auto admitted = stores_.settings_gate.Admit(request.bytes);
    if (!admitted) {
      connection.TrySend(store_reply{.correlation = correlation,
                                     .status = store_status::kDone,
                                     .bytes = admitted.error().reply});
      return;
    }
    request.bytes = std::move(admitted).value();
  }
  store.Propose(std::move(request.bytes), deadline, reply);
}

void control_service::HandleStatus(frame_connection& connection,
                                   const status_request& request) {
  status_reply reply{.correlation = request.correlation,
                     .control = self_.name,
                     .settings_revision = StoreRevision()};
  for (const store_id each :
       {store_id::kSettings, store_id::kLedger, store_id::kRouting}) {
    const replica_host* const store = Store(each);
    if (store != nullptr) {
      reply.stores.push_back(SummarizeStore(each, store->Status()));
    }
  }
  reply.nodes = leases_.Summaries(clock_.Now());
  connection.TrySend(reply);
}

void control_service::HandleReplica(const std::string& sender,
                                    const replica_envelope& envelope) {
  replica_host* const store = Store(envelope.store);
  if (store != nullptr) store->OnMessage(sender, envelope.bytes);
}

void control_service::HandleRoutingWatch(session& watcher,
                                         const routing_watch& watch) {
  watcher.WatchRouting(watch.known_version);
  // An outdated list would make the node forget current control VMs. The node
  // watches again once this control VM is a registrar.
  if (!IsRegistrar()) return;
  watcher.Push(locations_.List());
  // A version that is committed here but not in the feed yet follows with the
  // next push round.
  watcher.PushRouting(routing_feed_);
}

void control_service::PushRouting() {
  if (stores_.routing == nullptr) return;
  RefreshRouting();
  for (session* each : sessions_) {
    if (each->WatchesRouting()) each->PushRouting(routing_feed_);
  }
}

void control_service::RefreshRouting() {
  const auto version = DecodeRoutingVersion(
      stores_.routing->QueryStale(EncodeRoutingQuery(routing_query::kVersion)));
  if (!version || *version <= routing_feed_.Version()) return;
  auto table = DecodeRoutingTable(
      stores_.routing->QueryStale(EncodeRoutingQuery(routing_query::kTable)));
  if (!table) return;
  log_.Write(event_id::kRoutingAccepted, {{"version", *version}});
  routing_feed_.SetTable(std::move(*table));
}

// Updates the list of control VMs, which changes as machines are replaced.
void control_service::UpdateControlMembers() {
  if (stores_.routing == nullptr) return;
  std::vector<std::string> names;
  std::ranges::transform(stores_.routing->Status().replicas,
                         std::back_inserter(names), &replica_peer_status::name);
  if (!locations_.SetMembers(std::move(names))) return;
  mesh_.SetPeers(locations_.Members());
  PushControlList();
}

void control_service::PushControlList() {
  const control_list list = locations_.List();
  for (session* each : sessions_) {
    if (each->WatchesRouting()) each->Push(list);
  }
}

void control_service::PushChanges() {
  PushSettings();
  PushRouting();
  PushMemberships();
}

void control_service::PushSettings() {
  if (stores_.settings == nullptr) return;
  const std::uint64_t revision = StoreRevision();
  if (revision <= pushed_revision_) return;
  const auto changed = DecodeDocumentList(
      stores_.settings->QueryStale(EncodeSettingsQuery(service_changes_query{
          .after_store_revision = pushed_revision_, .services = {}})));
  pushed_revision_ = revision;
  if (!changed) return;
  for (const change_record& change : changed->documents) PushChange(change);
  for (session* each : sessions_) {
    each->Push(settings_update{.store_revision = revision});
  }
}

void control_service::PushChange(const change_record& change) {
  log_.Write(event_id::kSettingsAccepted,
             {{"path", change.path},
              {"revision", change.revision},
              {"store_revision", change.store_revision},
              {"change", change.change_id.ToString()}});
  const std::string service = change.path.substr(change.path.rfind('/') + 1);
  const settings_update update{
      .service = service,
      .store_revision = change.store_revision,
      .document = change.document.value_or(std::string())};
  for (session* each : sessions_) {
    if (each->Watches().contains(service)) each->Push(update);
  }
}

void control_service::PushMemberships() {
  const bool settled = HasSettled();
  const bool is_first_settled_push = settled && !pushed_settled_;
  if (leases_.Version() == pushed_version_ && !is_first_settled_push) return;
  pushed_version_ = leases_.Version();
  pushed_settled_ = settled;
  for (session* each : sessions_) {
    for (auto& [service, version] : each->Watches()) {
      membership_update update = leases_.ChangesSince(service, version);
      update.settled = settled;
      // Until the lease table has settled, only active leases are certain, not
      // missing ones.
      if (settled) version = pushed_version_;
      if (!settled && update.active_leases.empty()) continue;
      if (update.complete || !update.active_leases.empty() ||
          !update.removed_nodes.empty()) {
        each->Push(update);
      }
    }
  }
}

std::uint64_t control_service::StoreRevision() const {
  if (stores_.settings == nullptr) return 0;
  const auto list = DecodeDocumentList(
      stores_.settings->QueryStale(EncodeSettingsQuery(revision_query{})));
  return list ? list->store_revision : 0;
}

settings_update control_service::ReadSettings(
    const std::string& service) const {
  const auto list = DecodeDocumentList(stores_.settings->QueryStale(
      EncodeSettingsQuery(service_changes_query{.services = {service}})));
  settings_update update{.service = service};
  if (!list || list->documents.empty()) return update;
  const change_record& latest = list->documents.front();
  update.store_revision = latest.store_revision;
  update.document = latest.document.value_or(std::string());
  return update;
}

bool control_service::HasSettled() const {
  const time_point now = clock_.Now();
  return IsCurrent(now) &&
         now - started_at_ >= kSettleIntervals * options_.lease_interval;
}

replica_host* control_service::Store(store_id store) const {
  switch (store) {
    case store_id::kSettings:
      return stores_.settings;
    case store_id::kLedger:
      return stores_.ledger;
    case store_id::kRouting:
      return stores_.routing;
  }
  return nullptr;
}

}  // namespace hornbeam
