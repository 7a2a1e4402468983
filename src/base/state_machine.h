// Interface of a replicated state machine: a store that changes only by
// committed log entries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// One committed entry of the replicated log.
struct committed_entry {
  // Position in the log: starts at 1, without gaps.
  std::uint64_t index = 0;
  // The leader's wall clock when it accepted the entry; never decreases from
  // one entry to the next. A state machine may use no other clock.
  wall_time_point accepted_at;
  // Encoded command of the store.
  std::string_view command;
};

// Deterministic store: the same entries give the same state and replies on
// every replica. Owned by the replica host, which calls it from one thread at a
// time.
class state_machine {
 public:
  state_machine() = default;
  state_machine(const state_machine&) = delete;
  state_machine& operator=(const state_machine&) = delete;
  virtual ~state_machine() = default;

  // Applies one entry and returns the encoded reply for its proposer. A command
  // that cannot be decoded changes nothing and returns an encoded error.
  virtual std::string Apply(const committed_entry& entry) = 0;

  // Answers an encoded query from the current state. Called only after a quorum
  // confirmed that the state is up to date, or for a reader that accepts a
  // stale answer.
  [[nodiscard]] virtual std::string Query(std::string_view query) const = 0;

  // Returns the complete encoded state, for RestoreSnapshot on another replica
  // or after a restart.
  [[nodiscard]] virtual std::string TakeSnapshot() const = 0;

  // Replaces the complete state. Returns false, and changes nothing, if
  // `snapshot` cannot be decoded.
  virtual bool RestoreSnapshot(std::string_view snapshot) = 0;
};

}  // namespace hornbeam
