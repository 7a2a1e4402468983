// Server side of a control VM for nodes, other control VMs and hornbeamctl.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "controllers/control_locations.h"
#include "controllers/lease_table.h"
#include "controllers/routing_feed.h"
#include "hornbeam/clock_source.h"
#include "wire/call_link.h"
#include "wire/endpoint.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"
#include "wire/message_link.h"
#include "wire/messages.h"
#include "wire/registrar_search.h"

namespace hornbeam {

class event_log;
class fiber_group;
class proposal_gate;
class replica_host;
class replica_mesh;
class store_forwarder;
struct change_record;

// The replicated stores of one control VM. Owned by the daemon.
struct control_stores {
  // Null for a store that this deployment does not use.
  replica_host* settings = nullptr;
  replica_host* ledger = nullptr;
  replica_host* routing = nullptr;
  // Checks settings changes before they enter the log.
  const proposal_gate& settings_gate;

  [[nodiscard]] std::vector<replica_host*> All() const;
};

// Interval at which a control VM checks that it is current and pushes changes.
inline constexpr duration kPushInterval = std::chrono::milliseconds(50);
// Longest time from when a registrar becomes isolated until its nodes have the
// table of another control VM: the registrar's check, the delay before a link
// reconnects, the search, and a push round of the next registrar.
inline constexpr duration kRegistrarMoveTime =
    2 * kPushInterval + message_link_options{}.reconnect_delay +
    kRegistrarSearchTime;

struct control_service_options {
  duration lease_duration = std::chrono::milliseconds(4000);
  duration lease_interval = std::chrono::milliseconds(1000);
  // A control VM whose stores were not confirmed as current for this long
  // counts as isolated.
  duration isolation_limit = std::chrono::seconds(2);
  std::string availability_zone;
  std::string own_address;  // "ip:port" of this control VM's peers listener.
};

// Receives frames, keeps the lease table, forwards store requests to the
// leader, and pushes memberships, settings and routing tables to the nodes that
// watch them. For the I/O thread only; owned by the daemon.
class control_service final : public frame_handler_factory {
 public:
  control_service(const clock_source& clock, event_log& log,
                  const process_identity& self, control_stores stores,
                  replica_mesh& mesh, store_forwarder& forwarder,
                  const control_service_options& options);
  ~control_service() override;

  std::shared_ptr<frame_handler> MakeFrameHandler() override;

  // Starts the fibers that tick the replicas, broadcast leases and push
  // changes.
  void Start(fiber_group& fibers);
  void Stop();

  // Returns whether a leader of each store is known and this control VM counts
  // for the quorum of each store, so that another control VM may fail.
  [[nodiscard]] bool IsReady() const;
  // Returns the number of leases, including ended ones that are still retained.
  [[nodiscard]] std::size_t LeaseCount() const { return leases_.size(); }

 private:
  [[nodiscard]] bool KnowsLeaders() const;
  // Returns the time before which everything acknowledged is known here, in
  // each store.
  [[nodiscard]] time_point CurrentAsOf() const;
  [[nodiscard]] bool IsCurrent(time_point now) const {
    return CurrentAsOf() > now - options_.isolation_limit;
  }
  // Returns whether nodes may use this control VM as their registrar.
  [[nodiscard]] bool IsRegistrar() const {
    return !isolated_ && IsCurrent(clock_.Now());
  }
  class session;

  void HandleLease(frame_connection& connection, const lease_renewal& renewal);
  void HandleServiceWatch(session& watcher, const service_watch& watch);
  void HandleStore(frame_connection& connection, store_request request);
  void HandleStatus(frame_connection& connection,
                    const status_request& request);
  void HandleReplica(const std::string& sender,
                     const replica_envelope& envelope);
  void HandleLeaseBatch(const std::string& sender, const lease_batch& batch);
  void HandleKeepalive(const std::string& sender,
                       const lease_keepalive& received);
  void HandleLeaseBatchRequest(const std::string& sender);
  void TickLoop();
  void LeaseLoop();
  void CheckIsolation(time_point now);
  void BroadcastLeases(time_point now);
  void PushChanges();
  void PushSettings();
  void PushRouting();
  void RefreshRouting();
  void HandleRoutingWatch(session& watcher, const routing_watch& watch);
  void UpdateControlMembers();
  void PushControlList();
  void OfferToClients();
  void PushChange(const change_record& change);
  void PushMemberships();
  [[nodiscard]] std::uint64_t StoreRevision() const;
  [[nodiscard]] settings_update ReadSettings(const std::string& service) const;
  [[nodiscard]] bool HasSettled() const;
  // Returns null for a store that this deployment does not use.
  [[nodiscard]] replica_host* Store(store_id store) const;

  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  control_stores stores_;
  replica_mesh& mesh_;
  const control_service_options options_;
  lease_table leases_;
  store_forwarder& forwarder_;
  time_point started_at_;
  time_point leases_broadcast_at_;
  time_point last_round_at_;
  // A control VM that has just started cannot know how old its disk is.
  bool isolated_ = true;
  std::uint64_t pushed_revision_ = 0;
  std::uint64_t pushed_version_ = 0;
  bool pushed_settled_ = false;
  routing_feed routing_feed_;
  control_locations locations_;
  bool stopped_ = false;
  std::unordered_set<session*> sessions_;
};

}  // namespace hornbeam
