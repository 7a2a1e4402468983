// Settings of one replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// How often Tick should be called.
constexpr duration kReplicaTickInterval = std::chrono::milliseconds(10);

// Timing and bounds of one replica; the same on all replicas of a store.
struct replica_options {
  // This replica's name and those of all replicas of the store, itself among
  // them. Names are what the transport sends to.
  std::string name;
  std::vector<std::string> configured_names;
  std::string store_name;  // For the log.
  // Whether this replica may found a cluster together with all the others that
  // are named. Without that, one with an empty disk waits to be taken in.
  bool may_found = true;
  // Voters that the store should have; replicas that nobody configured join as
  // learners, fill up this number and stand in for voters that stay silent. 0:
  // the configured names and no others.
  std::size_t wanted_voters = 0;
  // A voter that is silent for so long gives its place to a learner that has
  // caught up.
  duration replace_silent_after = std::chrono::seconds(3);

  duration heartbeat_interval = std::chrono::milliseconds(50);
  // A follower that hears nothing for this long, up to twice as long by
  // chance, asks for votes. A leader that hears no quorum for this long steps
  // down.
  duration election_timeout = std::chrono::milliseconds(500);

  std::size_t max_command_bytes = std::size_t{4} << 20U;
  // Bound of the commands in one message or one sync.
  std::size_t max_batch_bytes = std::size_t{1} << 20U;
  // Bound of the commands that a leader has taken and not yet committed.
  std::size_t max_uncommitted_bytes = std::size_t{64} << 20U;
  std::size_t max_snapshot_chunk_bytes = std::size_t{256} << 10U;
  // Proposals and queries that may wait at once.
  std::size_t max_waiting = 16384;
  // A snapshot is taken when the log has grown by this many bytes since the
  // last one.
  std::size_t snapshot_log_bytes = std::size_t{64} << 20U;
  // Entries kept behind a snapshot for followers that lag a little.
  std::uint64_t kept_entries = 4096;
};

}  // namespace hornbeam
