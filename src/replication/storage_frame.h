// Encoding and replay of one batch of a log segment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "replication/log_entry.h"
#include "replication/log_storage.h"

namespace hornbeam {

// Content of one frame of a log segment.
struct storage_frame {
  std::optional<hard_state> state;
  // Index of a snapshot that replaced the log: the log continues after it.
  std::optional<std::uint64_t> reset_index;
  std::vector<log_entry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, reset_index, entries);
  }
};

// Each Decode function returns std::nullopt for bytes that its Encode function
// cannot have produced.
std::string EncodeStorageFrame(const storage_frame& frame);
std::optional<storage_frame> DecodeStorageFrame(std::string_view payload);

std::string EncodeIncarnation(std::uint64_t incarnation);
std::optional<std::uint64_t> DecodeIncarnation(std::string_view payload);

// Applies one batch to the state recovered from the batches before it.
void ApplyStorageFrame(storage_frame frame, recovered_state& recovered);

// Returns whether the log has an entry of another term at the snapshot's index.
// This happens if the process exits after it has written a snapshot that
// replaces the log and before it has written the batch that resets the log.
bool ConflictsWithSnapshot(const recovered_state& recovered);

// Removes the entries that the snapshot covers, or all entries if the log
// conflicts with the snapshot. Returns false if entries are missing.
bool RemoveSnapshottedEntries(recovered_state& recovered);

}  // namespace hornbeam
