// Catalogue of all log events: number, name, level and meaning.
//
// docs/EVENTS.md is checked against this table. Numbers are never reused or
// changed.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace hornbeam {

enum class event_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// Number ranges: 1xxx routing, 2xxx admission at the serving node, 3xxx
// membership, 4xxx ledger, 5xxx settings, 6xxx replication, 7xxx process
// lifecycle, 8xxx connections.
enum class event_id : std::uint16_t {
  // Routing.
  kCallRouted = 1001,
  kCallRerouted = 1002,
  kCallEnded = 1003,
  kCallHedged = 1005,
  kRequestEnded = 1006,
  kRequestsServed = 1007,
  // Admission.
  kCallAdmitted = 2001,
  kCallRejected = 2002,
  kCallCancelled = 2003,
  kUpstreamLoadChanged = 2004,
  kAnswerDropped = 2005,
  kAnswerMalformed = 2006,
  // Membership.
  kUpstreamAnnounced = 3001,
  kLeaseRenewalFailed = 3002,
  kMembershipChanged = 3003,
  kControlIsolated = 3004,
  kAnnouncementRejected = 3005,
  kUpstreamStateChanged = 3006,
  kControlListChanged = 3007,
  kRegistrarConnected = 3008,
  kDeparturesLoaded = 3009,
  kDepartureRecorded = 3010,
  // Ledger.
  kClaimEnded = 4003,
  // Settings.
  kSettingsAccepted = 5001,
  kSettingsInForce = 5002,
  kRoutingAccepted = 5003,
  kRoutingInForce = 5004,
  kRoutingChangeEnded = 5005,
  // Replication.
  kReplicaRoleChanged = 6001,
  kReplicaStorageFailed = 6002,
  kReplicaStorageRegained = 6003,
  kControlHandedOver = 6004,
  // Process lifecycle.
  kProcessStarted = 7001,
  kProcessDraining = 7002,
  kProcessStopped = 7003,
  kProcessFailed = 7004,
  kProcessReloaded = 7005,
  kPlatformTermsRead = 7006,
  // Connections.
  kPeerConnected = 8001,
  kPeerLost = 8002,
};

struct event_info {
  event_id id;
  std::string_view name;
  event_level level;
  std::string_view meaning;
};

// Returns all events, sorted by number.
std::span<const event_info> EventCatalogue();

// Returns the entry of `id`; every event_id has one.
const event_info& EventInfo(event_id id);

}  // namespace hornbeam
