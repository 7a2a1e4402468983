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
     "A dispatch returned no answer; the ingress node tries another upstream "
     "or reports the failure to the caller."},
    {event_id::kCallEnded, "call_ended", kInfo,
     "The ingress node answered its caller."},
    {event_id::kCallHedged, "call_hedged", kInfo,
     "A short idempotent call without an answer was sent to a second "
     "upstream."},
    {event_id::kRequestEnded, "request_ended", kInfo,
     "A request of a route completed without a timely answer of its first "
     "upstream, or was sent again."},
    {event_id::kRequestsServed, "requests_served", kInfo,
     "Number of requests of a route that their first upstream answered in time "
     "since the last such event; they are not logged individually."},
    {event_id::kCallAdmitted, "call_admitted", kInfo,
     "The serving node sent a call to its upstream."},
    {event_id::kCallRejected, "call_refused", kInfo,
     "The serving node rejected a call; the call did not run."},
    {event_id::kCallCancelled, "call_cancelled", kInfo,
     "The caller disconnected; its queued call was dropped or its running call "
     "was asked to stop."},
    {event_id::kUpstreamLoadChanged, "upstream_load_changed", kInfo,
     "The upstream of this node became slow or recovered, or its limit of "
     "running calls changed."},
    {event_id::kAnswerDropped, "answer_dropped", kWarning,
     "The serving node dropped an answer that its ingress has not "
     "acknowledged, "
     "to free memory or because it is old; if the call ran, a status query "
     "until its deadline is answered with \"unknown\"."},
    {event_id::kAnswerMalformed, "answer_malformed", kWarning,
     "An answer of the upstream (`source`) or of another node is not valid "
     "HTTP or does not belong to its request, and was not passed on."},
    {event_id::kUpstreamAnnounced, "upstream_announced", kInfo,
     "The upstream of this node announced itself."},
    {event_id::kLeaseRenewalFailed, "lease_renewal_failed", kWarning,
     "The node's registrar is lost or no longer current; the node looks for "
     "another one."},
    {event_id::kMembershipChanged, "membership_changed", kInfo,
     "The known upstreams of a service changed."},
    {event_id::kControlIsolated, "control_isolated", kWarning,
     "This control VM can no longer prove that its stores are current, or can "
     "again; while isolated it expires no leases and is no node's registrar. "
     "age_ms is the age of the proof, -1 if there was none since the start."},
    {event_id::kAnnouncementRejected, "announcement_refused", kWarning,
     "An announcement could not be decoded or is not for an upstream of this "
     "node."},
    {event_id::kUpstreamStateChanged, "upstream_state_changed", kInfo,
     "The upstream of this node started, began to drain, left, or its health "
     "check result changed."},
    {event_id::kControlListChanged, "control_list_changed", kInfo,
     "The list of control VMs that this node may use changed. Those that are "
     "neither configured nor in the list are forgotten; above a limit they are "
     "rejected."},
    {event_id::kRegistrarConnected, "registrar_connected", kInfo,
     "The node has a registrar, a control VM that has said that it is current. "
     "search_ms, tried and failed tell how long the last search took, how many "
     "control VMs it connected to, and how many of them did not answer or were "
     "not current."},
    {event_id::kDeparturesLoaded, "departures_loaded", kInfo,
     "The node has read which upstreams it had confirmed as leaving before "
     "its start; until then it uses no upstream."},
    {event_id::kDepartureRecorded, "departure_recorded", kInfo,
     "The node had the leave of its upstream recorded by a quorum of control "
     "VMs; it confirms the leave only if `recorded` is true."},
    {event_id::kClaimEnded, "claim_ended", kInfo,
     "The verdict on a copy of a non-idempotent call is known."},
    {event_id::kSettingsAccepted, "settings_accepted", kInfo,
     "A settings change is durably stored by a quorum."},
    {event_id::kSettingsInForce, "settings_in_force", kInfo,
     "The node applied a newer revision of the settings."},
    {event_id::kRoutingAccepted, "routing_accepted", kInfo,
     "A version of the routing table is durably stored by a quorum."},
    {event_id::kRoutingInForce, "routing_in_force", kInfo,
     "The node applied a newer version of the routing table."},
    {event_id::kRoutingChangeEnded, "routing_change_ended", kInfo,
     "A change or a read of the routing table was answered, after "
     "elapsed_ms."},
    {event_id::kReplicaRoleChanged, "replica_role_changed", kInfo,
     "A replica of a store changed its role or term."},
    {event_id::kReplicaStorageFailed, "replica_storage_failed", kError,
     "A replica's disk failed; the replica takes no part until its storage is "
     "opened again, which is tried if `reopens` is true."},
    {event_id::kReplicaStorageRegained, "replica_storage_regained", kInfo,
     "A replica's disk takes data again; the replica follows its leader."},
    {event_id::kControlHandedOver, "control_handed_over", kInfo,
     "A control VM that was asked to stop has handed over its votes and "
     "leadership; `done` is false if others could take them and did not in "
     "time."},
    {event_id::kProcessStarted, "process_started", kInfo,
     "The process is ready."},
    {event_id::kProcessDraining, "process_draining", kInfo,
     "The process was asked to stop and completes the calls in flight."},
    {event_id::kProcessStopped, "process_stopped", kInfo, "The process exits."},
    {event_id::kProcessFailed, "process_failed", kError,
     "The process failed and cannot continue."},
    {event_id::kProcessReloaded, "process_reloaded", kInfo,
     "The settings file was read again after SIGHUP."},
    {event_id::kPlatformTermsRead, "platform_terms_read", kInfo,
     "The platform's limits for the deployment were read from the settings."},
    {event_id::kPeerConnected, "peer_connected", kInfo,
     "A connection to another process was established."},
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
