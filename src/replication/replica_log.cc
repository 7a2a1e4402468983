#include "replication/replica_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hornbeam {

replica_log::replica_log(replica_membership initial) {
  memberships_.push_back({.index = 0, .membership = std::move(initial)});
}

std::uint64_t replica_log::LastIndex() const {
  return base_.index + entries_.size();
}

log_position replica_log::Last() const {
  if (entries_.empty()) return base_;
  return {.term = entries_.back().term, .index = entries_.back().index};
}

std::optional<std::uint64_t> replica_log::TermAt(std::uint64_t index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > LastIndex()) return std::nullopt;
  return At(index).term;
}

bool replica_log::Contains(const log_position& position) const {
  return TermAt(position.index) == position.term;
}

const log_entry& replica_log::At(std::uint64_t index) const {
  assert(index > base_.index && index <= LastIndex());
  return entries_[static_cast<std::size_t>(index - base_.index - 1)];
}

std::int64_t replica_log::LastAcceptedAtUs() const {
  return entries_.empty() ? base_accepted_at_us_
                          : entries_.back().accepted_at_us;
}

const replica_membership& replica_log::Membership() const {
  return memberships_.back().membership;
}

std::uint64_t replica_log::MembershipIndex() const {
  return memberships_.back().index;
}

const replica_membership& replica_log::MembershipAt(std::uint64_t index) const {
  const auto later = std::ranges::upper_bound(memberships_, index, {},
                                              &indexed_membership::index);
  assert(later != memberships_.begin());
  return std::prev(later)->membership;
}

std::vector<log_entry> replica_log::Slice(std::uint64_t first,
                                          std::size_t max_bytes) const {
  std::vector<log_entry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= LastIndex(); ++index) {
    const log_entry& entry = At(index);
    bytes += entry.command.size();
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

void replica_log::Append(log_entry entry) {
  assert(entry.index == LastIndex() + 1);
  if (entry.kind == entry_kind::kMembership) {
    memberships_.push_back(
        {.index = entry.index, .membership = entry.membership});
  }
  entries_.push_back(std::move(entry));
}

void replica_log::TruncateFrom(std::uint64_t index) {
  assert(index > base_.index);
  while (LastIndex() >= index) entries_.pop_back();
  while (memberships_.back().index >= index) memberships_.pop_back();
}

// Returns the lowest index such that the entries from it up to `end` are within
// `retained`; `end` + 1 if not even the entry at `end` is.
std::uint64_t replica_log::FirstRetained(std::uint64_t end,
                                         const log_retention& retained) const {
  std::uint64_t first = end + 1;
  std::size_t bytes = 0;
  while (first > base_.index + 1 && end + 1 - first < retained.entries) {
    bytes += At(first - 1).command.size();
    if (bytes > retained.bytes) break;
    --first;
  }
  return first;
}

void replica_log::Compact(std::shared_ptr<const log_snapshot> snapshot,
                          const log_retention& retained) {
  snapshot_ = std::move(snapshot);
  const std::uint64_t first =
      FirstRetained(std::min(snapshot_->index, LastIndex()), retained);
  while (base_.index + 1 < first) {
    base_ = {.term = entries_.front().term, .index = entries_.front().index};
    base_accepted_at_us_ = entries_.front().accepted_at_us;
    entries_.pop_front();
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_.index) {
    memberships_.erase(memberships_.begin());
  }
}

void replica_log::Restore(std::shared_ptr<const log_snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  base_ = {.term = snapshot_->term, .index = snapshot_->index};
  base_accepted_at_us_ = snapshot_->accepted_at_us;
  entries_.clear();
  memberships_.clear();
  memberships_.push_back(
      {.index = base_.index, .membership = snapshot_->membership});
}

void replica_log::SetInitialMembership(replica_membership initial) {
  assert(LastIndex() == 0);
  memberships_.front().membership = std::move(initial);
}

}  // namespace hornbeam
