// Assembly of a snapshot from chunks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "replication/log_entry.h"
#include "replication/replica_codec.h"
#include "replication/replica_message.h"

namespace hornbeam {

// Assembles a snapshot from chunks that arrive in order. A chunk of another
// snapshot restarts the assembly. Owned by replica_core.
class snapshot_receiver {
 public:
  // Adds a chunk. Returns the complete snapshot after its last chunk, otherwise
  // std::nullopt; a chunk at an unexpected offset is ignored.
  std::optional<log_snapshot> OnChunk(const snapshot_chunk& chunk) {
    const log_position position{.term = chunk.snapshot_term,
                                .index = chunk.snapshot_index};
    if (position != position_) {
      position_ = position;
      bytes_.clear();
    }
    if (chunk.offset != bytes_.size()) return std::nullopt;
    bytes_ += chunk.bytes;
    if (bytes_.size() != chunk.total_size) return std::nullopt;
    auto snapshot = DecodeLogSnapshot(bytes_);
    bytes_ = std::string();
    return snapshot;
  }

  // Returns the offset, in bytes, at which the next chunk must begin.
  [[nodiscard]] std::uint64_t NextOffset() const { return bytes_.size(); }

 private:
  log_position position_;
  std::string bytes_;
};

}  // namespace hornbeam
