// Replication progress of one peer, as tracked by the leader.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "hornbeam/clock_source.h"
#include "replication/log_entry.h"
#include "replication/round_confirmation.h"

namespace hornbeam {

// A snapshot that is being transferred to one replica.
struct snapshot_transfer {
  log_position position;
  std::shared_ptr<const std::string> bytes;  // Encoded.
  std::uint64_t offset = 0;  // Of the chunk in flight, or of the next one.
  bool chunk_sent = false;
  time_point sent_at;
};

// Replication progress of one peer. Once the leader knows a position at which
// both logs match, it pipelines entries without waiting for acknowledgements.
// Before that, and after a rejection, it probes with one message at a time.
struct peer_progress {
  static constexpr std::size_t kMaxInFlight = 4;  // Messages.

  std::uint64_t match_index = 0;  // Highest index known to be on its disk.
  std::uint64_t next_index = 1;   // Next index to send.
  bool probing = true;
  bool probe_sent = false;
  std::deque<std::uint64_t> in_flight;  // Last index of each message.
  std::optional<snapshot_transfer> transfer;
  std::uint64_t read_sequence = 0;  // Highest one that the peer returned.
  round_confirmation<std::uint64_t> clock_readings;
  time_point added_at;  // When the current leader added the peer.
  time_point last_heard_at;
  bool has_replied = false;  // To the current leader.

  // Records that the peer's disk matches the leader's log up to `index`.
  void OnAccepted(std::uint64_t index) {
    if (index > match_index) match_index = index;
    if (next_index <= match_index) next_index = match_index + 1;
    while (!in_flight.empty() && in_flight.front() <= index) {
      in_flight.pop_front();
    }
    probing = false;
    probe_sent = false;
  }

  // Handles a rejection: the peer does not have the entry at `rejected`, and
  // the logs match at most up to `hint`.
  void OnRejected(std::uint64_t rejected, std::uint64_t hint) {
    if (rejected <= match_index) return;  // Stale reply.
    if (rejected >= next_index) return;   // Stale: next_index decreased since.
    next_index = std::max(match_index, std::min(hint, rejected - 1)) + 1;
    in_flight.clear();
    probing = true;
    probe_sent = false;
  }
};

}  // namespace hornbeam
