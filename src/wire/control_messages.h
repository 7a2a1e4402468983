// Messages to, from and between control VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/store_client.h"

namespace hornbeam {

// The upstream of a node, as announced in the node's lease.
struct upstream_lease {
  std::string node;
  std::uint64_t incarnation = 0;
  // Increases with each change of the lease within an incarnation.
  std::uint64_t sequence = 0;
  std::string peers_address;  // "ip:port" for calls from other nodes.
  std::string region;
  std::string availability_zone;
  std::string service;  // Empty until an upstream has announced itself.
  std::uint32_t slots = 0;
  bool draining = false;
  // Id of the upstream instance; empty if upstreams have no instance ids.
  std::string instance;

  bool operator==(const upstream_lease&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, sequence, peers_address, region,
            availability_zone, service, slots, draining, instance);
  }
};

// Renews a node's lease. Sent once per lease interval.
struct lease_renewal {
  upstream_lease lease;
  // Revision of the settings that the node applies.
  std::uint64_t settings_revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, settings_revision);
  }
};

// Reply to a lease_renewal.
struct lease_granted {
  std::uint64_t sequence = 0;
  std::uint64_t duration_us = 0;
  // False shortly after a start of the control VM, which may not know all
  // leases yet.
  bool settled = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, duration_us, settled);
  }
};

// A lease that a control VM forwards to the others, with its age at the sender.
struct lease_copy {
  lease_renewal renewal;
  std::uint64_t age_us = 0;  // Time since the node renewed it.
  bool ended = false;        // The node released the lease.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(renewal, age_us, ended);
  }
};

// Leases that a control VM forwards in one message.
struct lease_batch {
  std::vector<lease_copy> leases;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leases);
  }
};

// Renews all leases whose registrar is the sender, in one message. Sent instead
// of a lease_batch while none of these leases has changed.
struct lease_keepalive {
  std::string availability_zone;  // Of the sender.
  // Digest of the names, incarnations and sequences of these leases.
  std::uint64_t digest = 0;
  // One byte per lease, ordered by node name: the age of the lease in units of
  // kKeepaliveAgeStep.
  std::string ages;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(availability_zone, digest, ages);
  }
};

// Asks for a lease_batch with all leases whose registrar is the receiver. Sent
// when a lease keepalive does not match the leases that the sender knows.
struct lease_batch_request {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// Releases a node's lease: the node is stopping and accepts no new calls.
struct lease_end {
  std::string node;
  std::uint64_t incarnation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

// Says whether the sender is current and may be a registrar: it can prove that
// its stores lack nothing that was acknowledged. Sent by a control VM after its
// hello and whenever that changes.
struct registrar_offer {
  bool is_current = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_current);
  }
};

// Subscribes the connection to the upstreams and settings of one service.
struct service_watch {
  std::string service;
  std::uint64_t known_revision = 0;  // Store revision that the sender has.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, known_revision);
  }
};

// Membership changes of a watched service. The first update after service_watch
// is complete.
struct membership_update {
  std::string service;
  bool complete = false;
  // False shortly after a start of the control VM, which may not know all
  // leases yet: absence from `active_leases` then does not mean that a node has
  // left.
  bool settled = false;
  std::vector<upstream_lease> active_leases;
  std::vector<std::string> removed_nodes;  // Node names.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, complete, settled, active_leases, removed_nodes);
  }
};

// The settings of a watched service as known to the sending control VM. An
// update with an empty service carries only the revision of the whole store.
struct settings_update {
  std::string service;
  std::uint64_t store_revision = 0;
  std::string document;  // INI text; empty if the service has no settings.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, store_revision, document);
  }
};

enum class store_operation : std::uint8_t { kPropose, kQuery };

// A command or query for a replicated store. The reply is a store_reply.
struct store_request {
  std::uint64_t correlation = 0;
  store_id store = store_id::kSettings;
  store_operation operation = store_operation::kQuery;
  std::uint64_t deadline_us = 0;  // Time left until the deadline.
  // The sender cannot reach the leader, so a control VM that knows the leader
  // forwards the request.
  bool may_forward = false;
  std::string bytes;  // Encoded by the store's codec.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, store, operation, deadline_us, may_forward, bytes);
  }
};

enum class store_status : std::uint8_t {
  kDone,       // `bytes` holds the store's reply.
  kNotLeader,  // Retry at `leader_address` unless it is empty.
  kNoQuorum,   // Certainly not accepted.
  kTimeout,    // May or may not have been accepted.
  kRejected,
};

// Reply to the store_request with the same correlation.
struct store_reply {
  std::uint64_t correlation = 0;
  store_status status = store_status::kRejected;
  std::string leader_address;
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, status, leader_address, bytes);
  }
};

// Subscribes the connection to the routing table.
struct routing_watch {
  std::uint64_t known_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(known_version);
  }
};

// A newer routing table, encoded by src/routing.
struct routing_update {
  std::uint64_t version = 0;
  // If not 0, `table` holds only the changes from this version to `version`.
  std::uint64_t base_version = 0;
  std::string table;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, base_version, table);
  }
};

// Address and availability zone of a control VM.
struct control_location {
  std::string address;            // "ip:port" of the peers listener.
  std::string availability_zone;  // Empty while unknown.

  bool operator==(const control_location&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, availability_zone);
  }
};

// The current control VMs. Sent to subscribers of the routing table.
struct control_list {
  std::vector<control_location> locations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(locations);
  }
};

// A message of the replicated log of one store.
struct replica_envelope {
  store_id store = store_id::kSettings;
  std::string bytes;  // Encoded by the replication module.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, bytes);
  }
};

// Requests from a control VM the data that `hornbeamctl status` shows.
struct status_request {
  std::uint64_t correlation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation);
  }
};

// State of one store's replica at a control VM.
struct store_summary {
  store_id store = store_id::kSettings;
  std::string role;    // As returned by ReplicaRoleName.
  std::string leader;  // Name; empty while unknown.
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, role, leader, term, commit_index);
  }
};

// Lease of one node and the settings that the node applies.
struct node_summary {
  upstream_lease lease;
  std::uint64_t settings_revision = 0;
  std::uint64_t age_us = 0;  // Time since the node renewed the lease.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, settings_revision, age_us);
  }
};

// Reply to the status_request with the same correlation.
struct status_reply {
  std::uint64_t correlation = 0;
  std::string control;  // Name of the answering process.
  std::uint64_t settings_revision = 0;
  std::vector<store_summary> stores;
  std::vector<node_summary> nodes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, control, settings_revision, stores, nodes);
  }
};

}  // namespace hornbeam
