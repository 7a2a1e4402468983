// Messages to, from and between control VMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/store_client.h"

namespace hornbeam {

// The upstream beside a node, as the node's lease announces it.
struct upstream_lease {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // Grows with each change of one incarnation.
  std::string peers_address;   // "ip:port" for calls from other nodes.
  std::string region;
  std::string availability_zone;
  std::string service;  // Empty while no upstream has announced itself.
  std::uint32_t slots = 0;
  bool draining = false;
  // Which start of the upstream it is; empty where upstreams have no such id.
  std::string instance;

  bool operator==(const upstream_lease&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, sequence, peers_address, region,
            availability_zone, service, slots, draining, instance);
  }
};

// Keeps a node's lease; sent once each lease interval.
struct lease_renewal {
  upstream_lease lease;
  // Revision of the settings that this node acts on.
  std::uint64_t settings_revision = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, settings_revision);
  }
};

struct lease_granted {
  std::uint64_t sequence = 0;
  std::uint64_t duration_us = 0;
  // False while the control VM has just started and may not know all leases.
  bool settled = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, duration_us, settled);
  }
};

// A lease that a control VM passes on to the others, with its age there.
struct lease_copy {
  lease_renewal renewal;
  std::uint64_t age_us = 0;  // Since the node renewed it.
  bool ended = false;        // The node gave it back.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(renewal, age_us, ended);
  }
};

struct lease_batch {
  std::vector<lease_copy> leases;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leases);
  }
};

// In place of a lease_batch while nothing changed: the leases whose home the
// sender is are all alive.
struct lease_pulse {
  std::string availability_zone;  // The sender's.
  // Over the names, incarnations and sequences of those leases.
  std::uint64_t digest = 0;
  // The age of each lease in steps of kKeepaliveAgeStep, one byte a lease, in
  // the order of the nodes' names.
  std::string ages;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(availability_zone, digest, ages);
  }
};

// Asks for a lease_batch of all leases whose home the receiver is: a pulse did
// not fit what the sender knows.
struct lease_recall {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// The node stops: no new calls from now on, and the lease ends.
struct lease_end {
  std::string node;
  std::uint64_t incarnation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation);
  }
};

// Subscribes the connection to the upstreams and settings of one service.
struct service_watch {
  std::string service;
  std::uint64_t known_revision = 0;  // Store revision of the settings at hand.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, known_revision);
  }
};

// Changes of a watched service. The first after service_watch is whole.
struct membership_update {
  std::string service;
  bool whole = false;
  // False while the control VM has just started and may not know all leases
  // yet: what is missing from `present` then says nothing.
  bool settled = false;
  std::vector<upstream_lease> present;
  std::vector<std::string> gone;  // Names of nodes.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, whole, settled, present, gone);
  }
};

// The settings of a watched service as this control VM knows them. With an
// empty service it only tells the revision of the whole store.
struct settings_update {
  std::string service;
  std::uint64_t store_revision = 0;
  std::string document;  // INI text; empty when there is none.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, store_revision, document);
  }
};

enum class store_operation : std::uint8_t { kPropose, kQuery };

// A command or query for a replicated store; answered by store_reply.
struct store_request {
  std::uint64_t correlation = 0;
  store_id store = store_id::kSettings;
  store_operation operation = store_operation::kQuery;
  std::uint64_t deadline_us = 0;  // What is left.
  // The sender cannot reach the leader: a control VM that knows one passes the
  // request on.
  bool may_forward = false;
  std::string bytes;  // Encoded by the store's codec.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation, store, operation, deadline_us, may_forward, bytes);
  }
};

enum class store_status : std::uint8_t {
  kDone,       // `bytes` is the store's reply.
  kNotLeader,  // Try `leader_address` when it is not empty.
  kNoQuorum,   // Certainly not accepted.
  kTimeout,    // May or may not have been accepted.
  kRejected,
};

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

// A newer routing table, as src/routing encodes it.
struct routing_update {
  std::uint64_t version = 0;
  // Not 0: `table` is the change that leads from this version to the newer one.
  std::uint64_t base_version = 0;
  std::string table;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, base_version, table);
  }
};

struct control_place {
  std::string address;            // "ip:port" of its peers listener.
  std::string availability_zone;  // Empty while not known.

  bool operator==(const control_place&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, availability_zone);
  }
};

// The control VMs as they are now; sent to whoever watches the routing table.
struct control_list {
  std::vector<control_place> places;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(places);
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

// Asks a control VM for what `hornbeamctl status` shows.
struct status_request {
  std::uint64_t correlation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(correlation);
  }
};

struct store_summary {
  store_id store = store_id::kSettings;
  std::string role;    // leader, follower, candidate or learner.
  std::string leader;  // Name; empty while unknown.
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(store, role, leader, term, commit_index);
  }
};

struct node_summary {
  upstream_lease lease;
  std::uint64_t settings_revision = 0;
  std::uint64_t age_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lease, settings_revision, age_us);
  }
};

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
