// Entries of the replicated log.
#pragma once

#include <cstdint>
#include <string>

#include "replication/replica_membership.h"

namespace hornbeam {

enum class entry_kind : std::uint8_t {
  kNoOp,        // Appended by a new leader; does not change the state machine.
  kCommand,     // `command` is applied to the state machine.
  kMembership,  // `membership` takes effect as soon as the entry is appended.
};

// One entry of the replicated log.
struct log_entry {
  std::uint64_t index = 0;  // Starts at 1, without gaps.
  std::uint64_t term = 0;
  entry_kind kind = entry_kind::kNoOp;
  // Wall clock of the leader that accepted the entry, in microseconds since the
  // epoch. Never decreases from one entry to the next.
  std::int64_t accepted_at_us = 0;
  std::string command;
  replica_membership membership;

  bool operator==(const log_entry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, accepted_at_us, command, membership);
  }
};

// Position of a log entry. Positions compare by term, then by index.
struct log_position {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  auto operator<=>(const log_position&) const = default;
};

}  // namespace hornbeam
