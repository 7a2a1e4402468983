// What replicas of one store say to each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "replication/log_entry.h"
#include "replication/log_storage.h"
#include "replication/replica_identity.h"

namespace hornbeam {

// Asks whether a cluster exists; sent by a replica that has none, or that no
// leader of its cluster addresses, and by a leader to configured names that it
// doesn't hear: those may have lost their disks and know only each other.
struct hello_request {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// The sender's formation, or nothing when it has none either. Only the answer
// to this start of the receiver counts: a hello may have waited long on its
// way.
struct hello_reply {
  std::optional<cluster_formation> formation;
  // Name of the leader that the sender follows; empty while it knows none.
  std::string leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(formation, leader);
  }
};

// Asks for a vote in the message's term. A pre-vote asks only whether a vote
// would be granted, and changes nothing at the receiver.
struct vote_request {
  bool pre_vote = false;
  log_position last;  // Of the candidate's log.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, last.term, last.index);
  }
};

struct vote_reply {
  bool pre_vote = false;
  // The term that was asked for; the message's term is the voter's own.
  std::uint64_t asked_term = 0;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, asked_term, granted);
  }
};

// Entries behind `previous`; without entries a heartbeat.
struct append_request {
  log_position previous;
  std::uint64_t commit_index = 0;
  std::uint64_t read_sequence = 0;  // Comes back in the reply.
  std::vector<log_entry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(previous.term, previous.index, commit_index, read_sequence,
            entries);
  }
};

struct append_reply {
  bool accepted = false;
  // Accepted: the follower's disk holds the leader's log up to here.
  // Refused: the `previous` index that didn't fit.
  std::uint64_t index = 0;
  // Refused: the logs may agree up to here, never behind it.
  std::uint64_t hint_index = 0;
  std::uint64_t read_sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, index, hint_index, read_sequence);
  }
};

// A piece of the leader's snapshot, for a follower that needs entries that the
// leader no longer has.
struct snapshot_chunk {
  std::uint64_t snapshot_index = 0;
  std::uint64_t snapshot_term = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_size = 0;
  std::uint64_t read_sequence = 0;
  // Of the encoded snapshot.
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot_index, snapshot_term, offset, total_size, read_sequence,
            bytes);
  }
};

struct snapshot_reply {
  std::uint64_t snapshot_index = 0;
  std::uint64_t next_offset = 0;  // What the follower wants next.
  std::uint64_t read_sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot_index, next_offset, read_sequence);
  }
};

using replica_message_body =
    std::variant<hello_request, hello_reply, vote_request, vote_reply,
                 append_request, append_reply, snapshot_chunk, snapshot_reply>;

// One message with what guards it against a wrong receiver: a message for
// another incarnation or another cluster is dropped.
struct replica_message {
  replica_identity from;
  // 0 in hellos, which go to whoever bears the name now.
  std::uint64_t to_incarnation = 0;
  std::uint64_t cluster_id = 0;  // 0 while the sender has none.
  std::uint64_t term = 0;
  replica_message_body body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, cluster_id, term, body);
  }
};

// A message and the configured name it goes to.
struct addressed_message {
  std::string to;
  replica_message message;
};

}  // namespace hornbeam
