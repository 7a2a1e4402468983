// Interface to the durable storage of one replica.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hornbeam/result.h"
#include "replication/log_entry.h"
#include "replication/replica_identity.h"
#include "replication/replica_membership.h"

namespace hornbeam {

// The id and initial members of a cluster. Every replica of the cluster stores
// its formation; a replica without one has never belonged to a cluster.
struct cluster_formation {
  std::uint64_t cluster_id = 0;
  replica_membership membership;

  bool operator==(const cluster_formation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster_id, membership);
  }
};

// The Raft hard state of one replica. It must be on disk before any message
// that depends on it is sent.
struct hard_state {
  std::uint64_t term = 0;
  std::optional<replica_identity> voted_for;  // In `term`.
  std::optional<cluster_formation> formation;

  bool operator==(const hard_state&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, voted_for, formation);
  }
};

// The complete state of the state machine after the entry at `index`.
struct log_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::int64_t accepted_at_us = 0;
  replica_membership membership;
  std::string state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, accepted_at_us, membership, state);
  }
};

// Changes that are written and synced together, in the order of the fields.
struct storage_batch {
  std::optional<hard_state> state;
  // Replaces the previous snapshot; entries up to its index may be deleted.
  std::shared_ptr<const log_snapshot> snapshot;
  // True if the entries after the snapshot conflict with it and are deleted as
  // well.
  bool snapshot_replaces_log = false;
  // Replace all stored entries from the index of the first one on.
  std::vector<log_entry> entries;
};

// State that a replica recovers from its disk when it starts.
struct recovered_state {
  std::uint64_t incarnation = 0;
  hard_state state;
  std::shared_ptr<const log_snapshot> snapshot;  // Null if none was taken.
  std::vector<log_entry> entries;  // Entries after the snapshot, without gaps.
};

// Reason why the storage cannot be used. The disk content after a failed sync
// is unknown, so the replica stops until Reopen succeeds; kCorrupt is
// permanent.
enum class storage_error_kind : std::uint8_t {
  kIo,       // A system call failed.
  kFull,     // No space is left.
  kCorrupt,  // A checksum does not match, or files are inconsistent.
  kInUse,    // Another process has locked the directory.
};

struct storage_error {
  storage_error_kind kind = storage_error_kind::kIo;
  std::string detail;  // File and reason, shown to the operator.
};

// Durable storage of one replica. Load must be called once, before the first
// Write. Methods may be called from one thread at a time.
class log_storage {
 public:
  log_storage() = default;
  log_storage(const log_storage&) = delete;
  log_storage& operator=(const log_storage&) = delete;
  virtual ~log_storage() = default;

  // Reads the stored state. If the disk is empty, creates and syncs a new
  // incarnation.
  virtual result<recovered_state, storage_error> Load() = 0;

  // Writes and syncs `batch`; returns success only if the whole batch is on
  // disk. After an error every further call fails until Reopen succeeds.
  virtual result<void, storage_error> Write(const storage_batch& batch) = 0;

  // After a failed Write: drops what is not certainly on disk, reads the stored
  // state again and proves by a write that the disk takes data. May be called
  // again after an error.
  virtual result<recovered_state, storage_error> Reopen() = 0;
};

}  // namespace hornbeam
