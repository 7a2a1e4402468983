#include "replication/persist_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace hornbeam {

void persist_queue::AddState(hard_state state) {
  pending_.batch.state = std::move(state);
  pending_.has_writes = true;
}

void persist_queue::AddEntry(log_entry entry) {
  std::vector<log_entry>& entries = pending_.batch.entries;
  while (!entries.empty() && entries.back().index >= entry.index) {
    entries.pop_back();
  }
  pending_.last = log_position{.term = entry.term, .index = entry.index};
  entries.push_back(std::move(entry));
  pending_.has_writes = true;
}

void persist_queue::AddSnapshot(std::shared_ptr<const log_snapshot> snapshot,
                                bool replaces_log) {
  if (replaces_log) {
    pending_.batch.entries.clear();
    pending_.batch.snapshot_replaces_log = true;
    pending_.last =
        log_position{.term = snapshot->term, .index = snapshot->index};
  }
  pending_.batch.snapshot = std::move(snapshot);
  pending_.has_writes = true;
}

void persist_queue::AddMessage(addressed_message message) {
  if (pending_.has_writes) {
    pending_.messages.push_back(std::move(message));
  } else if (writing_) {
    writing_->messages.push_back(std::move(message));
  } else {
    released_.push_back(std::move(message));
  }
}

std::optional<storage_batch> persist_queue::TakeBatch() {
  if (writing_ || !pending_.has_writes) return std::nullopt;
  writing_ = std::exchange(pending_, pending_batch{});
  return std::move(writing_->batch);
}

std::optional<log_position> persist_queue::OnPersisted() {
  assert(writing_);
  std::ranges::move(writing_->messages, std::back_inserter(released_));
  const std::optional<log_position> last = writing_->last;
  writing_.reset();
  return last;
}

std::vector<addressed_message> persist_queue::TakeReleased() {
  return std::exchange(released_, {});
}

}  // namespace hornbeam
