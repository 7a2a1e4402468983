// The protocol of one replica as a pure step function.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"
#include "replication/cluster_discovery.h"
#include "replication/log_storage.h"
#include "replication/peer_progress.h"
#include "replication/persist_queue.h"
#include "replication/read_queue.h"
#include "replication/replica_log.h"
#include "replication/replica_message.h"
#include "replication/replica_options.h"
#include "replication/replica_role.h"
#include "replication/snapshot_receiver.h"
#include "replication/vote_tally.h"

namespace hornbeam {

class random_source;

// What the owner of a replica core has to do after a step, in this order.
struct replica_output {
  // Write it, then call OnPersisted. There is no other batch before that.
  std::optional<storage_batch> batch;
  std::vector<addressed_message> messages;
  // Replaces the state machine's whole state; null mostly.
  std::shared_ptr<const log_snapshot> restore;
  // To be applied in order, without gaps behind what came before.
  std::vector<log_entry> committed;
  // To be answered from the state after `committed`.
  std::vector<std::uint64_t> confirmed_reads;
  // Not to be answered: this replica doesn't lead (any more).
  std::vector<std::uint64_t> failed_reads;
};

// Why a proposal was not taken; it will certainly never be committed.
enum class propose_error : std::uint8_t { kNotLeader, kTooLarge, kOverloaded };

// A replica of a log with one leader a term, elected by a majority of the
// voters, that commits an entry once a majority has it on disk.
//
// No I/O, no threads, no clock: messages, ticks, proposals, reads and
// completions of writes come in by calls; TakeOutput gives what they lead to
// and must be called after each of them (or a run of them).
//
// - A message that promises something leaves only once the promise is on disk.
// - Only entries of the leader's own term are committed by counting; older ones
//   are committed with them.
// - Before an election a replica asks whether it could win, so that one that
//   was cut off doesn't disturb the others when it comes back.
// - A leader that hears no quorum for an election timeout steps down.
// - Membership changes by one voter at a time, through the log, and only after
//   an entry of the own term was committed. A replica whose disk was lost comes
//   back under a new identity as a learner; once it has caught up the leader
//   removes the old identity, then makes the new one a voter. In this order the
//   voters tolerate no fewer faults at any step than before: the old identity
//   is dead weight in the quorum.
class replica_core {
 public:
  // `random` must outlive this.
  replica_core(replica_options options, recovered_state recovered,
               random_source& random, time_point now);

  void OnTick(time_point now);
  // Messages for others, and from other clusters, are dropped.
  void OnMessage(const replica_message& message, time_point now);
  // The batch of the last output is on disk.
  void OnPersisted(time_point now);

  // Appends a command to the leader's log. It is accepted once an entry of this
  // position comes out as committed, and never will be when another entry comes
  // out at its index.
  result<log_position, propose_error> Propose(std::string command,
                                              wall_time_point accepted_at);
  // Asks for confirmation that this replica's committed entries are current;
  // `read` comes back as confirmed or failed.
  void RequestRead(std::uint64_t read);
  // `state` is the state machine's whole state after the entry at `index`,
  // which came out as committed.
  void OnSnapshotTaken(std::uint64_t index, std::string state);

  replica_output TakeOutput(time_point now);

  [[nodiscard]] replica_role Role() const { return role_; }
  [[nodiscard]] std::uint64_t Term() const { return hard_state_.term; }
  [[nodiscard]] std::uint64_t ClusterId() const;
  [[nodiscard]] const replica_identity& Self() const { return self_; }
  [[nodiscard]] const std::optional<replica_identity>& Leader() const {
    return leader_;
  }
  [[nodiscard]] std::uint64_t CommitIndex() const { return commit_index_; }
  [[nodiscard]] const replica_log& Log() const { return log_; }
  // The highest index known to be on the disk of `id`; 0 unless this replica
  // leads.
  [[nodiscard]] std::uint64_t MatchIndex(const replica_identity& id) const;

 private:
  // Messages.
  void Handle(const replica_message& message, const hello_request& body);
  void Handle(const replica_message& message, const hello_reply& body);
  void Handle(const replica_message& message, const vote_request& body);
  void Handle(const replica_message& message, const vote_reply& body);
  void Handle(const replica_message& message, const append_request& body);
  void Handle(const replica_message& message, const append_reply& body);
  void Handle(const replica_message& message, const snapshot_chunk& body);
  void Handle(const replica_message& message, const snapshot_reply& body);
  [[nodiscard]] bool IsForThisReplica(const replica_message& message) const;
  void AdoptNewerTerm(const replica_message& message);
  void Send(const replica_identity& to, replica_message_body body);
  void SendInTerm(const replica_identity& to, std::uint64_t term,
                  replica_message_body body);
  // For what rests on no write of its own.
  void SendAtOnce(const replica_identity& to, replica_message_body body);
  [[nodiscard]] replica_message MakeMessage(const replica_identity& to,
                                            std::uint64_t term,
                                            replica_message_body body) const;

  // Formation.
  [[nodiscard]] bool IsForgotten() const;
  void SendHellos();
  void CallMissingNames();
  void TryForm();
  void Bind(const cluster_formation& formation);

  // Elections.
  void ResetElectionDeadline();
  void ScheduleNextCampaign();
  duration RandomBelow(duration bound);
  void Campaign(bool pre_vote);
  void CountVotes();
  void BecomeFollower(std::uint64_t term,
                      const std::optional<replica_identity>& leader);
  void BecomeLeader();
  [[nodiscard]] bool IsVoter() const;
  void ForgetSilentLeader();

  // Following.
  bool FollowLeader(const replica_message& message);
  void TakeEntries(const append_request& body);
  void InstallSnapshot(log_snapshot snapshot);
  void AdvanceFollowerCommit(std::uint64_t index);

  // Leading.
  void AppendOwn(entry_kind kind, std::string command,
                 replica_membership membership, std::int64_t accepted_at_us);
  void SyncPeersWithMembership();
  void SendHeartbeats();
  void SendEntries(const replica_identity& peer, peer_progress& progress);
  void SendAppend(const replica_identity& peer, const peer_progress& progress,
                  std::vector<log_entry> entries);
  void StartTransfer(const replica_identity& peer, peer_progress& progress);
  void SendSnapshotChunk(const replica_identity& peer, peer_progress& progress);
  void AdvanceLeaderCommit();
  void ConfirmReads();
  peer_progress* HeardFrom(const replica_message& message,
                           std::uint64_t read_sequence);
  [[nodiscard]] bool HearsQuorum() const;
  [[nodiscard]] bool CommittedInOwnTerm() const;
  void ConsiderMembership();
  bool DropAbandonedLearner(replica_membership& membership) const;
  bool AdmitLearner(replica_membership& membership) const;
  bool AdmitNewName(const replica_membership& membership,
                    replica_member& learner) const;
  bool DropSucceededVoter(replica_membership& membership) const;
  bool DropSurplusVoter(replica_membership& membership) const;
  [[nodiscard]] bool IsSilent(const replica_identity& id) const;
  [[nodiscard]] auto IsSilentVoter() const {
    return [this](const replica_member& member) {
      return member.voter && IsSilent(member.identity);
    };
  }
  void ChangeMembership(replica_membership membership);
  void ConsiderNewReplica(const replica_identity& replica);
  [[nodiscard]] bool IsCaughtUp(const replica_identity& id) const;
  [[nodiscard]] bool WasHeardLately(const replica_identity& id) const;
  [[nodiscard]] bool MayChangeMembership() const;
  // The highest value that a quorum of voters has reached: `own` for this
  // replica, the member `value` for the others.
  [[nodiscard]] std::uint64_t QuorumValue(
      std::uint64_t own, std::uint64_t peer_progress::* value) const;

  void DrainReleased();
  bool HandleOwnMessage();
  void PersistState();
  void EmitCommitted(std::uint64_t commit_index);

  const replica_options options_;
  const replica_identity self_;
  random_source& random_;
  time_point now_;

  replica_role role_ = replica_role::kUnformed;
  hard_state hard_state_;
  replica_log log_;
  persist_queue persist_;
  std::uint64_t durable_index_ = 0;  // The own disk holds the log up to here.
  std::uint64_t commit_index_ = 0;
  std::optional<replica_identity> leader_;
  time_point election_deadline_;
  time_point leader_heard_at_;
  bool waited_first_ = false;    // For a leader to show itself after the start.
  unsigned lost_campaigns_ = 0;  // Since a leader was known.
  cluster_discovery discovery_;
  time_point next_hello_;
  std::set<std::string> told_leaders_;  // As others named them.
  vote_tally votes_;
  snapshot_receiver receiver_;

  // Of a leader.
  std::map<replica_identity, peer_progress> peers_;
  time_point next_heartbeat_;
  time_point led_since_;
  std::uint64_t first_own_index_ = 0;
  read_queue reads_;
  std::shared_ptr<const std::string> encoded_snapshot_;
  std::uint64_t encoded_snapshot_index_ = 0;
  std::size_t uncommitted_bytes_ = 0;

  replica_output output_;
};

}  // namespace hornbeam
