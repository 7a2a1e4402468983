// Messages between the replicas of one store.
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

// Asks whether a cluster exists. Sent by a replica that has no cluster or
// receives nothing from a leader of its cluster, and by a leader to configured
// names from which it receives nothing: those replicas may have lost their
// disks and know only each other.
struct hello_request {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// Reply with the sender's formation. Accepted only if it is addressed to the
// receiver's current incarnation, because a hello may have been delayed.
struct hello_reply {
  std::optional<cluster_formation> formation;  // std::nullopt if it has none.
  // Name of the leader that the sender follows; empty if it knows none.
  std::string leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(formation, leader);
  }
};

// Requests a vote in the message's term. A pre-vote only asks whether a vote
// would be granted and does not change the receiver's state.
struct vote_request {
  bool pre_vote = false;
  log_position last;  // Last position of the candidate's log.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, last.term, last.index);
  }
};

// Reply to a vote_request.
struct vote_reply {
  bool pre_vote = false;
  // The term of the vote request; the message's term is the voter's own.
  std::uint64_t requested_term = 0;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, requested_term, granted);
  }
};

// Entries that follow `previous`; a heartbeat if there are none.
struct append_request {
  log_position previous;
  std::uint64_t commit_index = 0;
  std::uint64_t read_sequence = 0;  // Returned in the reply.
  // The receiver's latest clock_reading since which a quorum has confirmed the
  // leader: `commit_index` covers all that was acknowledged before it. 0 if
  // there is none.
  std::uint64_t confirmed_reading = 0;
  std::vector<log_entry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(previous.term, previous.index, commit_index, read_sequence,
            confirmed_reading, entries);
  }
};

// Reply to an append_request. Also the reply to a snapshot_chunk if the
// follower has the whole snapshot or the sender's term is stale.
struct append_reply {
  bool accepted = false;
  // Accepted: the follower's disk matches the leader's log up to this index.
  // Rejected: the index of `previous` that did not match.
  std::uint64_t index = 0;
  // Rejected: the highest index up to which the logs can match.
  std::uint64_t hint_index = 0;
  std::uint64_t read_sequence = 0;
  // The sender's clock, which means nothing to the leader; never 0.
  std::uint64_t clock_reading = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, index, hint_index, read_sequence, clock_reading);
  }
};

// A chunk of the leader's snapshot, for a follower that needs entries that the
// leader has compacted.
struct snapshot_chunk {
  std::uint64_t snapshot_index = 0;
  std::uint64_t snapshot_term = 0;
  std::uint64_t offset = 0;
  std::uint64_t total_size = 0;
  std::uint64_t read_sequence = 0;
  std::string bytes;  // Of the encoded snapshot.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot_index, snapshot_term, offset, total_size, read_sequence,
            bytes);
  }
};

// Reply to a snapshot_chunk while the follower lacks part of the snapshot.
struct snapshot_reply {
  std::uint64_t snapshot_index = 0;
  std::uint64_t next_offset = 0;  // Offset that the follower expects next.
  std::uint64_t read_sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot_index, next_offset, read_sequence);
  }
};

// Tells the leader that the sender will stop: a learner that has caught up
// should take its vote. Repeated until the sender has no vote or stops.
struct leave_request {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// Asks a voter to campaign at once, because the leader will stop. Valid only
// from the leader of the message's term.
struct take_over_request {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

using replica_message_body =
    std::variant<hello_request, hello_reply, vote_request, vote_reply,
                 append_request, append_reply, snapshot_chunk, snapshot_reply,
                 leave_request, take_over_request>;

// A message with its sender, receiver, cluster and term. The receiver drops a
// message for another incarnation or another cluster.
struct replica_message {
  replica_identity from;
  // 0 in hello requests, which any incarnation with the name may receive.
  std::uint64_t to_incarnation = 0;
  std::uint64_t cluster_id = 0;  // 0 if the sender has no cluster.
  std::uint64_t term = 0;
  replica_message_body body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, cluster_id, term, body);
  }
};

// A message and the name of the replica to send it to.
struct addressed_message {
  std::string to;
  replica_message message;
};

}  // namespace hornbeam
