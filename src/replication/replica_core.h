// The replication protocol of one replica, as a deterministic state machine.
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
#include "replication/round_confirmation.h"
#include "replication/snapshot_receiver.h"
#include "replication/vote_tally.h"

namespace hornbeam {

class random_source;

// Actions that the owner of a replica_core must carry out after a step, in the
// order of the fields.
struct replica_output {
  // To be written and synced, followed by a call of OnPersisted. The core
  // returns no further batch before that call.
  std::optional<storage_batch> batch;
  std::vector<addressed_message> messages;
  // Replaces the complete state of the state machine; usually null.
  std::shared_ptr<const log_snapshot> restore;
  // To be applied in order; they follow the entries of earlier outputs, or
  // `restore`, without gaps.
  std::vector<log_entry> committed;
  // To be answered from the state after `committed` is applied.
  std::vector<std::uint64_t> confirmed_reads;
  // To be rejected, because this replica is not the leader or lost leadership.
  std::vector<std::uint64_t> failed_reads;
};

// Reason why a proposal was rejected; it is guaranteed never to be committed.
enum class propose_error : std::uint8_t { kNotLeader, kTooLarge, kOverloaded };

// One replica of a replicated log, following the Raft protocol: a majority of
// the voters elects at most one leader per term, and the leader commits an
// entry once a majority of the voters has it on disk.
//
// The core has no I/O, threads or clock. Its owner, which calls it from one
// thread at a time, reports messages, ticks, proposals, reads and completed
// writes; TakeOutput returns the resulting actions and must be called after
// each of these calls or after a series of them.
//
// - A message is sent only after the state it depends on is on disk.
// - Only entries of the leader's current term are committed by counting
//   replicas; earlier entries are committed together with them.
// - A replica runs a pre-vote before an election, so that a replica that
//   returns from a network partition does not disrupt the others.
// - A leader that has not heard from a quorum within an election timeout steps
//   down.
// - The membership changes through the log by one voter at a time, and only
//   after an entry of the current term is committed. A replica that lost its
//   disk rejoins under a new identity as a learner. Once it has caught up, the
//   leader removes the old identity and then promotes the new one to voter. In
//   this order no step tolerates fewer faults than before, because the old
//   identity counts towards the quorum size but cannot vote any more.
// - A replica that will stop hands over its vote first, if a learner can take
//   it: the leader promotes the learner and then demotes the replica. In this
//   order the voters that stay tolerate as many faults as before. A leader
//   hands over the leadership as well.
class replica_core {
 public:
  // `random` must outlive this.
  replica_core(replica_options options, recovered_state recovered,
               random_source& random, time_point now);

  // Handles timeouts, sends heartbeats and hellos, and makes pending membership
  // changes. Should be called every kReplicaTickInterval.
  void OnTick(time_point now);
  // Handles a message. Drops messages that are addressed to another replica or
  // belong to another cluster.
  void OnMessage(const replica_message& message, time_point now);
  // Must be called when the batch of the last output is on disk.
  void OnPersisted(time_point now);

  // Appends a command to the leader's log and returns its position. The command
  // is committed once an output's `committed` has an entry at this position,
  // and will never be if the entry at this index has another term.
  result<log_position, propose_error> Propose(std::string command,
                                              wall_time_point accepted_at);
  // Requests confirmation that this replica's committed entries are current.
  // A later output returns `read_id` in `confirmed_reads` or `failed_reads`.
  void RequestRead(std::uint64_t read_id);
  // Compacts the log. `state` is the complete state of the state machine after
  // the entry at `index`, which was part of an output's `committed`.
  void OnSnapshotTaken(std::uint64_t index, std::string state);

  // Begins to hand over the vote and the leadership, since the process will
  // stop; see IsReadyToStop. The replica takes part until then.
  void BeginLeave();
  // Returns whether nothing is left to hand over, or nobody could take it.
  [[nodiscard]] bool IsReadyToStop() const;

  // Returns the actions that result from the calls since the last TakeOutput.
  replica_output TakeOutput(time_point now);

  [[nodiscard]] replica_role Role() const { return role_; }
  [[nodiscard]] std::uint64_t Term() const { return hard_state_.term; }
  // Returns 0 if this replica has no cluster yet.
  [[nodiscard]] std::uint64_t ClusterId() const;
  [[nodiscard]] const replica_identity& Self() const { return self_; }
  // Returns the leader of the current term, or std::nullopt if none is known.
  [[nodiscard]] const std::optional<replica_identity>& Leader() const {
    return leader_;
  }
  [[nodiscard]] std::uint64_t CommitIndex() const { return commit_index_; }
  // Returns a time, on this replica's clock, such that this replica has
  // committed every entry that was acknowledged before it; the minimum if no
  // such time is known. A leader proves it by the replies of a quorum. Another
  // replica needs a round trip with a leader that a quorum confirmed meanwhile:
  // messages of a leader that its replies do not reach prove nothing.
  [[nodiscard]] time_point CurrentAsOf() const { return current_as_of_; }
  [[nodiscard]] const replica_log& Log() const { return log_; }
  // Returns the highest index known to be on the disk of `id`; 0 if this
  // replica is not the leader or does not replicate to `id`.
  [[nodiscard]] std::uint64_t MatchIndex(const replica_identity& id) const;

 private:
  // Message handling.
  void Handle(const replica_message& message, const hello_request& body);
  void Handle(const replica_message& message, const hello_reply& body);
  void Handle(const replica_message& message, const vote_request& body);
  void Handle(const replica_message& message, const vote_reply& body);
  void Handle(const replica_message& message, const append_request& body);
  void Handle(const replica_message& message, const append_reply& body);
  void Handle(const replica_message& message, const snapshot_chunk& body);
  void Handle(const replica_message& message, const snapshot_reply& body);
  void Handle(const replica_message& message, const leave_request& body);
  void Handle(const replica_message& message, const take_over_request& body);
  [[nodiscard]] bool IsForThisReplica(const replica_message& message) const;
  void AdoptNewerTerm(const replica_message& message);
  void Send(const replica_identity& to, replica_message_body body);
  void SendInTerm(const replica_identity& to, std::uint64_t term,
                  replica_message_body body);
  // Sends a message that depends on no pending write.
  void SendImmediately(const replica_identity& to, replica_message_body body);
  [[nodiscard]] replica_message MakeMessage(const replica_identity& to,
                                            std::uint64_t term,
                                            replica_message_body body) const;

  // Cluster formation.
  [[nodiscard]] bool ShouldSendHellos() const;
  void SendHellos();
  void SendHellosToMissingNames();
  void TryFormCluster();
  void AdoptFormation(const cluster_formation& formation);

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
  void ClearSilentLeader();

  // Planned stops.
  void SendLeaveRequest();
  void MaybeTransferLeadership();
  [[nodiscard]] bool IsLeaving(const replica_identity& id) const;
  [[nodiscard]] bool HasLearnerToPromote() const;

  // Follower.
  bool FollowLeader(const replica_message& message);
  void AppendEntries(const append_request& body);
  void InstallSnapshot(log_snapshot snapshot);
  void AdvanceFollowerCommit(std::uint64_t index);
  [[nodiscard]] std::uint64_t ClockReading() const;
  void RecordCurrency(std::uint64_t confirmed_reading);

  // Leader.
  void AppendAsLeader(entry_kind kind, std::string command,
                      replica_membership membership,
                      std::int64_t accepted_at_us);
  void SyncPeersWithMembership();
  void SendHeartbeats();
  void SendEntries(const replica_identity& peer, peer_progress& progress);
  void SendAppend(const replica_identity& peer, const peer_progress& progress,
                  std::vector<log_entry> entries);
  void StartSnapshotTransfer(const replica_identity& peer,
                             peer_progress& progress);
  void SendSnapshotChunk(const replica_identity& peer, peer_progress& progress);
  void AdvanceLeaderCommit();
  void ConfirmReads();
  // Records that a peer replied. Returns the progress of the peer, or null if
  // this replica does not lead in the reply's term or the sender is not a peer.
  peer_progress* RecordReply(const replica_message& message,
                             std::uint64_t read_sequence);
  [[nodiscard]] bool HasActiveQuorum() const;
  [[nodiscard]] bool HasCommittedInCurrentTerm() const;
  void MaybeChangeMembership();
  bool RemoveObsoleteLearner(replica_membership& membership) const;
  bool AdvanceLearner(replica_membership& membership) const;
  bool PromoteLearner(const replica_membership& membership,
                      replica_member& learner) const;
  bool RemoveSupersededVoter(replica_membership& membership) const;
  [[nodiscard]] bool HasSurplusVoters() const;
  bool ReduceSurplusVoters(replica_membership& membership) const;
  bool DemoteLeavingVoter(replica_membership& membership) const;
  [[nodiscard]] bool IsSilent(const replica_identity& id) const;
  [[nodiscard]] auto IsSilentVoter() const {
    return [this](const replica_member& member) {
      return member.voter && IsSilent(member.identity);
    };
  }
  void ChangeMembership(replica_membership membership);
  void MaybeAddLearner(const replica_identity& replica);
  [[nodiscard]] bool IsCaughtUp(const replica_identity& id) const;
  [[nodiscard]] bool WasHeardRecently(const replica_identity& id) const;
  [[nodiscard]] bool CanChangeMembership() const;
  // Returns the highest value that a quorum of voters has reached, where `own`
  // is the value of this replica and the member `value` that of a peer.
  [[nodiscard]] std::uint64_t QuorumValue(
      std::uint64_t own, std::uint64_t peer_progress::* value) const;

  void DrainReleased();
  bool HandleMessageToSelf();
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
  std::uint64_t durable_index_ = 0;  // Highest log index on the local disk.
  std::uint64_t commit_index_ = 0;
  std::optional<replica_identity> leader_;
  time_point election_deadline_;
  time_point leader_heard_at_;
  const time_point started_at_;
  // Clock reading of the start. Random, so that a reading of an earlier process
  // is not taken for one of this process.
  const std::uint64_t first_reading_;
  time_point current_as_of_ = time_point::min();
  // Whether the shorter first election timeout after the start has been used.
  bool first_timeout_used_ = false;
  unsigned failed_campaigns_ = 0;  // Since the last contact with a leader.
  cluster_discovery discovery_;
  time_point next_hello_;
  std::set<std::string> reported_leaders_;  // Names received in hello messages.
  vote_tally votes_;
  snapshot_receiver receiver_;

  // Planned stops.
  bool leaving_ = false;
  time_point next_leave_message_;
  // When each replica last told this leader that it will stop.
  std::map<replica_identity, time_point> leave_requested_at_;

  // Leader state.
  std::map<replica_identity, peer_progress> peers_;
  time_point next_heartbeat_;
  time_point leader_since_;
  std::uint64_t first_index_of_term_ = 0;
  read_queue reads_;
  round_confirmation<time_point> round_starts_;
  std::shared_ptr<const std::string> encoded_snapshot_;
  std::uint64_t encoded_snapshot_index_ = 0;
  std::size_t uncommitted_bytes_ = 0;

  replica_output output_;
};

}  // namespace hornbeam
