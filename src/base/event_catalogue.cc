#include "base/event_catalogue.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace hornbeam {

namespace {

using enum event_level;

constexpr auto kCatalogue = std::to_array<event_info>({
    {event_id::kCallRouted, "call_routed", kInfo,
     "The ingress node chose an upstream for a call."},
    {event_id::kCallRerouted, "call_rerouted", kInfo,
     "A dispatch gave no answer; another upstream may follow, or the caller "
     "is told."},
    {event_id::kCallEnded, "call_ended", kInfo,
     "The ingress node answered its caller."},
    {event_id::kCallHedged, "call_hedged", kInfo,
     "A short idempotent call without an answer was sent to a second "
     "upstream."},
    {event_id::kRequestEnded, "request_ended", kInfo,
     "A request of a route ended other than by a timely answer at its first "
     "upstream, or was repeated."},
    {event_id::kRequestsServed, "requests_served", kInfo,
     "How many requests of a route were answered by their first upstream in "
     "time since the last such line; they have no lines of their own."},
    {event_id::kCallAdmitted, "call_admitted", kInfo,
     "The serving node handed a call to its upstream."},
    {event_id::kCallRefused, "call_refused", kInfo,
     "The serving node refused a call; it did not run."},
    {event_id::kCallCancelled, "call_cancelled", kInfo,
     "The caller went away; a queued call was dropped or a running one asked "
     "to stop."},
    {event_id::kUpstreamLoadChanged, "upstream_load_changed", kInfo,
     "The upstream of this node began or ceased to be slow, or the calls that "
     "it may run at once changed."},
    {event_id::kUpstreamAnnounced, "upstream_announced", kInfo,
     "The upstream beside this node announced itself."},
    {event_id::kLeaseRenewalFailed, "lease_renewal_failed", kWarning,
     "The node could not renew its lease at the control VMs."},
    {event_id::kMembershipChanged, "membership_changed", kInfo,
     "The known upstreams of a service changed."},
    {event_id::kControlIsolated, "control_isolated", kWarning,
     "This control VM lost the leader of a store, or found one again; while "
     "cut off it ends no leases and is no node's home."},
    {event_id::kAnnouncementRefused, "announcement_refused", kWarning,
     "An announcement could not be read or named no upstream of this node."},
    {event_id::kUpstreamStateChanged, "upstream_state_changed", kInfo,
     "The upstream of this node started, drains, left, or answers its health "
     "check otherwise than before."},
    {event_id::kControlListChanged, "control_list_changed", kInfo,
     "The control VMs that this node may turn to changed."},
    {event_id::kClaimEnded, "claim_ended", kInfo,
     "A copy of a non-idempotent call has its verdict."},
    {event_id::kSettingsAccepted, "settings_accepted", kInfo,
     "A settings change is on a quorum's disks."},
    {event_id::kSettingsInForce, "settings_in_force", kInfo,
     "The node now acts on a newer revision of the settings."},
    {event_id::kRoutingAccepted, "routing_accepted", kInfo,
     "A version of the routing table is on a quorum's disks."},
    {event_id::kRoutingInForce, "routing_in_force", kInfo,
     "The node now acts on a newer version of the routing table."},
    {event_id::kRoutingChangeEnded, "routing_change_ended", kInfo,
     "A change of the routing table, or a read of it, has its answer."},
    {event_id::kReplicaRoleChanged, "replica_role_changed", kInfo,
     "A replica of a store changed its role or term."},
    {event_id::kReplicaStorageFailed, "replica_storage_failed", kError,
     "A replica's disk failed; the replica takes no further part."},
    {event_id::kProcessStarted, "process_started", kInfo,
     "The process is ready."},
    {event_id::kProcessDraining, "process_draining", kInfo,
     "The process was asked to stop and finishes what is in flight."},
    {event_id::kProcessStopped, "process_stopped", kInfo, "The process ends."},
    {event_id::kProcessFailed, "process_failed", kError,
     "The process cannot go on."},
    {event_id::kProcessReloaded, "process_reloaded", kInfo,
     "The settings file was read again after a hang-up signal."},
    {event_id::kPlatformTermsRead, "platform_terms_read", kInfo,
     "What the platform holds the deployment to was read from the settings."},
    {event_id::kPeerConnected, "peer_connected", kInfo,
     "A connection to another process opened."},
    {event_id::kPeerLost, "peer_lost", kWarning,
     "A connection to another process was lost."},
});

}  // namespace

std::span<const event_info> EventCatalogue() { return kCatalogue; }

const event_info& EventInfo(event_id id) {
  const auto found = std::ranges::find(kCatalogue, id, &event_info::id);
  assert(found != kCatalogue.end());
  return *found;
}

}  // namespace hornbeam
