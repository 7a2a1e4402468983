// What a leader knows of one other replica.
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

namespace hornbeam {

// A snapshot on its way to one replica.
struct snapshot_transfer {
  log_position position;
  std::shared_ptr<const std::string> bytes;  // Encoded.
  std::uint64_t offset = 0;                  // Of the chunk sent last or next.
  bool chunk_sent = false;
  time_point sent_at;
};

// Entries travel ahead of their acknowledgement once the logs are known to
// agree somewhere; until then, and after a refusal, the leader probes with one
// message at a time.
struct peer_progress {
  static constexpr std::size_t kMaxInFlight = 4;  // Messages.

  std::uint64_t match_index = 0;  // On the peer's disk for certain.
  std::uint64_t next_index = 1;   // To be sent next.
  bool probing = true;
  bool probe_sent = false;
  std::deque<std::uint64_t> in_flight;  // Last index of each message.
  std::optional<snapshot_transfer> transfer;
  std::uint64_t read_sequence = 0;  // The latest that came back.
  time_point known_since;           // By the present leader.
  time_point last_heard;
  bool heard = false;

  void OnAccepted(std::uint64_t index) {
    if (index > match_index) match_index = index;
    if (next_index <= match_index) next_index = match_index + 1;
    while (!in_flight.empty() && in_flight.front() <= index) {
      in_flight.pop_front();
    }
    probing = false;
    probe_sent = false;
  }

  // The peer lacks the entry at `refused`; the logs may agree up to `hint`.
  void OnRefused(std::uint64_t refused, std::uint64_t hint) {
    if (refused <= match_index) return;  // An old message.
    if (refused >= next_index) return;   // Likewise: next has gone back since.
    next_index = std::max(match_index, std::min(hint, refused - 1)) + 1;
    in_flight.clear();
    probing = true;
    probe_sent = false;
  }
};

}  // namespace hornbeam
