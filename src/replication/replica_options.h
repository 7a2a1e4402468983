// Options of one replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Interval at which replica_core::OnTick should be called.
constexpr duration kReplicaTickInterval = std::chrono::milliseconds(10);

// Limit on one command, which has to fit into one message between processes.
constexpr std::size_t kMaxCommandBytes = std::size_t{3} << 20U;

// Limits on the entries that a log keeps although a snapshot covers them.
struct log_retention {
  std::uint64_t entries = 0;
  std::size_t bytes = 0;  // Of all commands.
};

// Names, timing and limits of one replica. Timing and limits must be the same
// on all replicas of a store.
struct replica_options {
  // Name of this replica and the configured names of the store's replicas. The
  // transport addresses replicas by name.
  std::string name;
  std::vector<std::string> configured_names;
  std::string store_name;  // Used in log messages.
  // Whether this replica may form a cluster together with all other configured
  // replicas. If false, a replica with an empty disk waits until a leader adds
  // it to an existing cluster.
  bool may_found = true;
  // Target number of voters. Replicas without a configured name join as
  // learners, become voters up to this number and replace voters that stay
  // silent. 0 restricts membership to the configured names.
  std::size_t target_voters = 0;
  // A voter from which the leader receives nothing for this long is replaced by
  // a learner that has caught up.
  duration replace_silent_after = std::chrono::seconds(3);

  duration heartbeat_interval = std::chrono::milliseconds(50);
  // A follower that receives nothing from a leader for a random time between
  // one and two election timeouts starts a campaign. A leader that has not
  // heard from a quorum within one election timeout steps down.
  duration election_timeout = std::chrono::milliseconds(500);

  std::size_t max_command_bytes = kMaxCommandBytes;
  // Limit on the size of the commands in one message or one sync.
  std::size_t max_batch_bytes = std::size_t{1} << 20U;
  // Limit on the size of the commands that a leader has accepted but not yet
  // committed.
  std::size_t max_uncommitted_bytes = std::size_t{64} << 20U;
  std::size_t max_snapshot_chunk_bytes = std::size_t{256} << 10U;
  // Maximum number of waiting proposals and queries.
  std::size_t max_waiting = 16384;
  // A snapshot is taken once the log has grown since the previous one by this
  // many bytes, or by the size of the previous snapshot if that is larger.
  std::size_t snapshot_log_bytes = std::size_t{16} << 20U;
  // Entries retained before the snapshot index, so that a follower that lags
  // slightly needs no snapshot.
  log_retention retained{.entries = 4096, .bytes = std::size_t{8} << 20U};
};

}  // namespace hornbeam
