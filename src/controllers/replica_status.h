// Status of one replica and its view of the cluster.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hornbeam/clock_source.h"
#include "replication/replica_role.h"

namespace hornbeam {

// A member of the cluster, as known to the reporting replica.
struct replica_peer_status {
  std::string name;
  std::uint64_t incarnation = 0;
  bool voter = false;
  std::uint64_t match_index = 0;  // Known only to the leader; else 0.
};

// Snapshot of the state of one replica.
struct replica_status {
  replica_role role = replica_role::kUnformed;
  std::uint64_t term = 0;
  std::uint64_t cluster_id = 0;  // 0 while no cluster is known.
  std::uint64_t incarnation = 0;
  std::string leader;  // Name; empty while unknown.
  std::uint64_t last_index = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t snapshot_index = 0;
  // All that was acknowledged before this time is applied here.
  time_point current_as_of;
  std::string storage_fault;  // Empty while the disk works.
  // Whether the replica has nothing left to hand over; see
  // replica_host::BeginLeave.
  bool ready_to_stop = true;
  std::vector<replica_peer_status> replicas;
};

}  // namespace hornbeam
