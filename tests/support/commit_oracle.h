// Safety checks over the committed and acknowledged entries of all replicas.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "replication/log_entry.h"

namespace hornbeam {

// The applied state of one replica: the last index and a digest of all entries.
struct applied_state {
  std::uint64_t index = 0;
  std::uint64_t digest = 0;

  void Apply(const log_entry& entry) {
    index = entry.index;
    digest = digest * 0x9E3779B97F4A7C15ULL +
             std::hash<std::string>{}(entry.command) + entry.term;
  }
};

// Test oracle that receives every committed entry of every replica and keeps
// the first violation of the protocol.
class commit_oracle {
 public:
  // Checks an entry that a replica committed; `state` is the replica's state
  // after it.
  void OnCommitted(const log_entry& entry, const applied_state& state) {
    if (entry.index <= committed_.size()) {
      const committed& known = committed_[entry.index - 1];
      if (known.entry != entry)
        ReportViolation("conflicting entry at", entry.index);
      if (known.digest != state.digest)
        ReportViolation("wrong state at", entry.index);
      return;
    }
    if (entry.index != committed_.size() + 1) {
      ReportViolation("gap in committed entries before index", entry.index);
      return;
    }
    if (!committed_.empty() &&
        committed_.back().entry.accepted_at_us > entry.accepted_at_us) {
      ReportViolation("accepted_at_us decreases at index", entry.index);
    }
    committed_.push_back({.entry = entry, .digest = state.digest});
    if (entry.kind == entry_kind::kMembership) last_membership_ = entry.index;
  }

  // Checks a state that a replica restored from a snapshot.
  void OnRestored(const applied_state& state) {
    if (state.index > committed_.size() ||
        committed_[state.index - 1].digest != state.digest) {
      ReportViolation("snapshot of uncommitted state at index", state.index);
    }
  }

  // Records that the entry at `index` was acknowledged to its proposer.
  void OnAcknowledged(std::uint64_t index) {
    acknowledged_ = std::max(acknowledged_, index);
  }
  // Returns the lowest index that a read that begins now must observe.
  [[nodiscard]] std::uint64_t Acknowledged() const { return acknowledged_; }

  // Checks a read that observed the state at `observed_index` and must observe
  // the state at `required_index` or a later one.
  void OnRead(std::uint64_t observed_index, std::uint64_t required_index) {
    ++reads_;
    if (observed_index < required_index)
      ReportViolation("read misses acknowledged index", required_index);
  }

  // Records a violation; only the first one is kept.
  void ReportViolation(const std::string& what, std::uint64_t index) {
    if (violation_.empty()) violation_ = fmt::format("{} {}", what, index);
  }

  [[nodiscard]] const std::string& Violation() const { return violation_; }
  [[nodiscard]] std::uint64_t CommittedCount() const {
    return committed_.size();
  }
  [[nodiscard]] std::uint64_t ReadCount() const { return reads_; }
  // Returns the last committed membership, or null if there is none.
  [[nodiscard]] const replica_membership* LastMembership() const {
    return last_membership_ == 0
               ? nullptr
               : &committed_[last_membership_ - 1].entry.membership;
  }
  // Returns the index of the last committed membership, or 0 if there is none.
  [[nodiscard]] std::uint64_t LastMembershipIndex() const {
    return last_membership_;
  }

 private:
  struct committed {
    log_entry entry;
    std::uint64_t digest = 0;
  };

  std::vector<committed> committed_;
  std::uint64_t last_membership_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t reads_ = 0;
  std::string violation_;
};

}  // namespace hornbeam
