// Linearizable reads that wait until a quorum confirms the leader.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace hornbeam {

// Batches reads into rounds of heartbeats. A round is confirmed once a quorum
// has replied to a message of that round or of a later one: no other leader had
// been elected when the round began, so the entries that were committed then
// are current. Owned by replica_core.
class read_queue {
 public:
  void Add(std::uint64_t read_id) { queued_.push_back(read_id); }

  // Returns whether reads wait for a round and every earlier round is
  // confirmed.
  [[nodiscard]] bool NeedsRound() const {
    return !queued_.empty() && waiting_.empty();
  }
  // Begins a round for all reads added so far; returns its sequence number.
  std::uint64_t BeginRound() {
    ++sequence_;
    for (const std::uint64_t read_id : std::exchange(queued_, {})) {
      waiting_.push_back({.read_id = read_id, .sequence = sequence_});
    }
    return sequence_;
  }
  // Returns the sequence number of the latest round; 0 before the first one.
  [[nodiscard]] std::uint64_t Sequence() const { return sequence_; }

  // Removes and returns the reads of the rounds up to `sequence`.
  std::vector<std::uint64_t> TakeConfirmed(std::uint64_t sequence) {
    std::vector<std::uint64_t> confirmed;
    std::erase_if(waiting_, [&](const read_in_round& read) {
      if (read.sequence > sequence) return false;
      confirmed.push_back(read.read_id);
      return true;
    });
    return confirmed;
  }

  // Removes and returns all reads, because none of them can be confirmed any
  // more.
  std::vector<std::uint64_t> TakeAll() {
    std::vector<std::uint64_t> all = std::exchange(queued_, {});
    for (const read_in_round& read : waiting_) all.push_back(read.read_id);
    waiting_.clear();
    return all;
  }

 private:
  struct read_in_round {
    std::uint64_t read_id = 0;
    std::uint64_t sequence = 0;
  };

  std::uint64_t sequence_ = 0;
  std::vector<std::uint64_t> queued_;
  std::vector<read_in_round> waiting_;
};

}  // namespace hornbeam
