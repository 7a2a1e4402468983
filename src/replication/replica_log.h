// In-memory log of one replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "replication/log_entry.h"
#include "replication/log_storage.h"
#include "replication/replica_membership.h"
#include "replication/replica_options.h"

namespace hornbeam {

// The latest snapshot and the entries after it. Some entries up to the
// snapshot's index may be retained for followers that lag. Tracks the
// membership in effect at each index, but not which entries are on disk. Owned
// by replica_core.
class replica_log {
 public:
  // `initial` is the membership until a snapshot or an entry changes it.
  explicit replica_log(replica_membership initial = {});

  // Returns the index before the first entry in memory.
  [[nodiscard]] std::uint64_t BaseIndex() const { return base_.index; }
  [[nodiscard]] std::uint64_t LastIndex() const;
  [[nodiscard]] log_position Last() const;
  // Returns the term of the entry at `index`, or std::nullopt if the entry was
  // compacted or is not in the log yet.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  [[nodiscard]] bool Contains(const log_position& position) const;
  // Returns the entry at `index`, which must be in memory.
  [[nodiscard]] const log_entry& At(std::uint64_t index) const;
  // Returns `accepted_at_us` of the last entry or, if no entry is in memory, of
  // the snapshot; 0 for an empty log.
  [[nodiscard]] std::int64_t LastAcceptedAtUs() const;

  // Returns the latest membership in the log, committed or not.
  [[nodiscard]] const replica_membership& Membership() const;
  // Returns the index of the entry or snapshot that set the latest membership;
  // 0 for the initial one.
  [[nodiscard]] std::uint64_t MembershipIndex() const;
  // Returns the membership in effect at `index`, which must be at least
  // BaseIndex().
  [[nodiscard]] const replica_membership& MembershipAt(
      std::uint64_t index) const;

  // Returns copies of the entries from `first` on, as many as have commands of
  // at most `max_bytes` in total, but at least one if there is any.
  [[nodiscard]] std::vector<log_entry> Slice(std::uint64_t first,
                                             std::size_t max_bytes) const;

  // Appends `entry`, whose index must be LastIndex() + 1.
  void Append(log_entry entry);
  // Removes all entries from `index` on, which must be above BaseIndex().
  void TruncateFrom(std::uint64_t index);

  // Returns the latest snapshot, or null.
  [[nodiscard]] const std::shared_ptr<const log_snapshot>& Snapshot() const {
    return snapshot_;
  }
  // Sets `snapshot`, taken from this replica's own state, as the latest one and
  // removes the entries up to its index except the last ones within `retained`.
  void Compact(std::shared_ptr<const log_snapshot> snapshot,
               const log_retention& retained);
  // Replaces the whole log with a snapshot.
  void Restore(std::shared_ptr<const log_snapshot> snapshot);
  // Sets the membership at the start of an empty log.
  void SetInitialMembership(replica_membership initial);

 private:
  struct indexed_membership {
    std::uint64_t index = 0;
    replica_membership membership;
  };

  [[nodiscard]] std::uint64_t FirstRetained(
      std::uint64_t end, const log_retention& retained) const;

  log_position base_;
  std::int64_t base_accepted_at_us_ = 0;
  std::deque<log_entry> entries_;
  std::shared_ptr<const log_snapshot> snapshot_;
  // Never empty; sorted by index.
  std::vector<indexed_membership> memberships_;
};

}  // namespace hornbeam
