// Pending writes of a replica and the messages that depend on them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "replication/log_storage.h"
#include "replication/replica_message.h"

namespace hornbeam {

// Collects writes into batches, so that each batch needs one sync, and delays
// every message until the writes it depends on are on disk. Owned by
// replica_core.
class persist_queue {
 public:
  // Sets the hard state of the next batch.
  void AddState(hard_state state);
  // Adds an entry to the next batch. Entries must be added in log order; adding
  // an index again replaces that entry and all later ones.
  void AddEntry(log_entry entry);
  // Sets the snapshot of the next batch. If `replaces_log` is true, entries
  // added to that batch before are dropped.
  void AddSnapshot(std::shared_ptr<const log_snapshot> snapshot,
                   bool replaces_log);
  // Releases `message` once all writes added before it are on disk.
  void AddMessage(addressed_message message);

  // Returns the next batch to write, or std::nullopt while a batch is being
  // written or if there is nothing to write.
  std::optional<storage_batch> TakeBatch();
  // Must be called when the batch returned by TakeBatch is on disk. Returns the
  // position of its last entry or of the snapshot that replaced the log, or
  // std::nullopt if the batch had neither.
  std::optional<log_position> OnPersisted();
  // Removes and returns the messages that depend on no pending write, in order.
  std::vector<addressed_message> TakeReleased();

 private:
  struct pending_batch {
    storage_batch batch;
    std::optional<log_position> last;
    std::vector<addressed_message> messages;
    bool has_writes = false;
  };

  pending_batch pending_;
  std::optional<pending_batch> writing_;
  std::vector<addressed_message> released_;
};

}  // namespace hornbeam
