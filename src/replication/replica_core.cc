// Message dispatch and follower. Cluster formation and elections are in
// replica_core_election.cc, planned stops in replica_core_leave.cc, and the
// leader is in replica_core_leader.cc and replica_core_membership.cc.
#include "replication/replica_core.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

constexpr int kReportLifetimeInElectionTimeouts = 2;

constexpr std::uint64_t kFirstReadings = std::uint64_t{1} << 31U;
// One step of a clock reading, which is sent with each reply.
constexpr duration kClockReadingStep = std::chrono::milliseconds(1);

// Returns whether `entries` follow `previous` without gaps and with
// non-decreasing terms.
bool AreConsecutive(const log_position& previous,
                    const std::vector<log_entry>& entries) {
  log_position last = previous;
  for (const log_entry& entry : entries) {
    if (entry.index != last.index + 1 || entry.term < last.term) return false;
    last = {.term = entry.term, .index = entry.index};
  }
  return true;
}

}  // namespace

replica_core::replica_core(replica_options options, recovered_state recovered,
                           random_source& random, time_point now)
    : options_(std::move(options)),
      self_{.name = options_.name, .incarnation = recovered.incarnation},
      random_(random),
      now_(now),
      hard_state_(std::move(recovered.state)),
      leader_heard_at_(now),
      started_at_(now),
      first_reading_(1 + random.NextBelow(kFirstReadings)),
      discovery_(self_, options_.configured_names,
                 options_.election_timeout * kReportLifetimeInElectionTimeouts),
      next_hello_(now) {
  if (hard_state_.formation) {
    role_ = replica_role::kFollower;
    log_.SetInitialMembership(hard_state_.formation->membership);
  }
  if (recovered.snapshot) {
    log_.Restore(recovered.snapshot);
    commit_index_ = recovered.snapshot->index;
    output_.restore = recovered.snapshot;
  }
  for (log_entry& entry : recovered.entries) log_.Append(std::move(entry));
  durable_index_ = log_.LastIndex();
  ResetElectionDeadline();
}

std::uint64_t replica_core::ClusterId() const {
  return hard_state_.formation ? hard_state_.formation->cluster_id : 0;
}

bool replica_core::IsVoter() const { return log_.Membership().IsVoter(self_); }

void replica_core::OnTick(time_point now) {
  now_ = now;
  if (role_ == replica_role::kLeader) {
    if (!HasActiveQuorum()) {
      BecomeFollower(hard_state_.term, std::nullopt);
      return;
    }
    MaybeChangeMembership();
    if (leaving_) MaybeTransferLeadership();
    if (now_ >= next_hello_) SendHellosToMissingNames();
    if (now_ >= next_heartbeat_) SendHeartbeats();
    return;
  }
  if (role_ == replica_role::kUnformed) TryFormCluster();
  if (ShouldSendHellos() && now_ >= next_hello_) SendHellos();
  if (leaving_) SendLeaveRequest();
  if (!IsVoter()) {
    ClearSilentLeader();
    return;
  }
  const bool is_only_voter =
      role_ == replica_role::kFollower && log_.Membership().VoterCount() == 1;
  if (is_only_voter || now_ >= election_deadline_) Campaign(true);
}

// Clears the leader after an election timeout without a message from it. Needed
// for learners, which never campaign: a partitioned learner would otherwise
// keep reporting its old leader.
void replica_core::ClearSilentLeader() {
  if (now_ - leader_heard_at_ >= options_.election_timeout) leader_.reset();
}

// Returns whether this replica has to send hellos, because it belongs to no
// cluster or its leader may no longer have it in the membership. A voter that
// was replaced while it was suspended finds out when it gets no pre-votes.
bool replica_core::ShouldSendHellos() const {
  if (role_ == replica_role::kUnformed) return true;
  if (IsVoter()) return role_ == replica_role::kPreCandidate;
  return now_ - leader_heard_at_ >= options_.election_timeout;
}

void replica_core::OnPersisted(time_point now) {
  now_ = now;
  const std::optional<log_position> last = persist_.OnPersisted();
  if (last && log_.Contains(*last)) {
    durable_index_ = std::max(durable_index_, last->index);
  }
  if (role_ == replica_role::kLeader) AdvanceLeaderCommit();
}

replica_output replica_core::TakeOutput(time_point now) {
  now_ = now;
  do {
    DrainReleased();
  } while (HandleMessageToSelf());
  if (role_ == replica_role::kLeader) {
    if (HasCommittedInCurrentTerm() && reads_.NeedsRound()) SendHeartbeats();
    for (auto& [peer, progress] : peers_) SendEntries(peer, progress);
  }
  output_.batch = persist_.TakeBatch();
  return std::exchange(output_, {});
}

void replica_core::DrainReleased() {
  for (addressed_message& released : persist_.TakeReleased()) {
    output_.messages.push_back(std::move(released));
  }
}

// Handles a message from this replica to itself; returns false if there is
// none. A candidate sends its own vote as a message, so that the vote counts
// only once it is on disk.
bool replica_core::HandleMessageToSelf() {
  const auto own =
      std::ranges::find(output_.messages, self_.name, &addressed_message::to);
  if (own == output_.messages.end()) return false;
  const replica_message message = std::move(own->message);
  output_.messages.erase(own);
  OnMessage(message, now_);
  return true;
}

// ---- Messages ----

bool replica_core::IsForThisReplica(const replica_message& message) const {
  if (std::holds_alternative<hello_request>(message.body)) {
    return message.from.name != self_.name &&
           (message.cluster_id == 0 || ClusterId() == 0 ||
            message.cluster_id == ClusterId());
  }
  if (message.to_incarnation != self_.incarnation) return false;
  if (std::holds_alternative<hello_reply>(message.body)) return true;
  return ClusterId() != 0 && message.cluster_id == ClusterId();
}

void replica_core::AdoptNewerTerm(const replica_message& message) {
  if (message.term <= hard_state_.term) return;
  if (std::holds_alternative<hello_request>(message.body)) return;
  if (std::holds_alternative<hello_reply>(message.body)) return;
  const auto* request = std::get_if<vote_request>(&message.body);
  if (request != nullptr && request->pre_vote) return;
  BecomeFollower(message.term, std::nullopt);
}

void replica_core::OnMessage(const replica_message& message, time_point now) {
  now_ = now;
  if (!IsForThisReplica(message)) return;
  AdoptNewerTerm(message);
  std::visit([&](const auto& body) { Handle(message, body); }, message.body);
}

replica_message replica_core::MakeMessage(const replica_identity& to,
                                          std::uint64_t term,
                                          replica_message_body body) const {
  return {.from = self_,
          .to_incarnation = to.incarnation,
          .cluster_id = ClusterId(),
          .term = term,
          .body = std::move(body)};
}

void replica_core::Send(const replica_identity& to, replica_message_body body) {
  SendInTerm(to, hard_state_.term, std::move(body));
}

void replica_core::SendInTerm(const replica_identity& to, std::uint64_t term,
                              replica_message_body body) {
  persist_.AddMessage(
      {.to = to.name, .message = MakeMessage(to, term, std::move(body))});
}

void replica_core::SendImmediately(const replica_identity& to,
                                   replica_message_body body) {
  output_.messages.push_back(
      {.to = to.name,
       .message = MakeMessage(to, hard_state_.term, std::move(body))});
}

void replica_core::PersistState() { persist_.AddState(hard_state_); }

// ---- Follower ----

// Follows the sender of `message` as leader. Returns false if the term of the
// message is stale.
bool replica_core::FollowLeader(const replica_message& message) {
  if (message.term < hard_state_.term) return false;
  assert(role_ != replica_role::kLeader);
  BecomeFollower(message.term, message.from);
  leader_heard_at_ = now_;
  failed_campaigns_ = 0;
  ResetElectionDeadline();
  return true;
}

void replica_core::Handle(const replica_message& message,
                          const append_request& body) {
  append_reply reply{.index = body.previous.index,
                     .read_sequence = body.read_sequence,
                     .clock_reading = ClockReading()};
  if (!FollowLeader(message)) {
    // The term of the reply makes a stale leader step down.
    Send(message.from, reply);
    return;
  }
  if (leaving_) SendLeaveRequest();
  if (!AreConsecutive(body.previous, body.entries)) return;
  // Committed entries are the same in the log of every later leader, so a
  // previous entry that is committed matches. The entries after it may still be
  // new: a leader that receives no replies sends them again from the start.
  if (body.previous.index <= commit_index_ || log_.Contains(body.previous)) {
    AppendEntries(body);
    reply.accepted = true;
    reply.index =
        std::max(commit_index_, body.previous.index + body.entries.size());
    AdvanceFollowerCommit(std::min(body.commit_index, reply.index));
    if (commit_index_ >= body.commit_index)
      RecordCurrency(body.confirmed_reading);
  } else {
    std::uint64_t hint = std::min(log_.LastIndex(), body.previous.index - 1);
    while (hint > commit_index_ &&
           log_.TermAt(hint).value_or(0) > body.previous.term) {
      --hint;
    }
    reply.hint_index = hint;
  }
  Send(message.from, reply);
}

void replica_core::AppendEntries(const append_request& body) {
  for (const log_entry& entry : body.entries) {
    if (entry.index <= commit_index_) continue;
    if (log_.Contains({.term = entry.term, .index = entry.index})) continue;
    if (entry.index <= log_.LastIndex()) {
      assert(entry.index > commit_index_);
      log_.TruncateFrom(entry.index);
      durable_index_ = std::min(durable_index_, entry.index - 1);
    }
    log_.Append(entry);
    persist_.AddEntry(entry);
  }
}

std::uint64_t replica_core::ClockReading() const {
  return first_reading_ +
         static_cast<std::uint64_t>((now_ - started_at_) / kClockReadingStep);
}

void replica_core::RecordCurrency(std::uint64_t confirmed_reading) {
  if (confirmed_reading < first_reading_ || confirmed_reading > ClockReading())
    return;
  const auto steps =
      static_cast<duration::rep>(confirmed_reading - first_reading_);
  current_as_of_ =
      std::max(current_as_of_, started_at_ + steps * kClockReadingStep);
}

void replica_core::AdvanceFollowerCommit(std::uint64_t index) {
  if (index > commit_index_) EmitCommitted(index);
}

void replica_core::EmitCommitted(std::uint64_t commit_index) {
  while (commit_index_ < commit_index) {
    ++commit_index_;
    const log_entry& entry = log_.At(commit_index_);
    if (role_ == replica_role::kLeader) {
      uncommitted_bytes_ -= entry.command.size();
    }
    output_.committed.push_back(entry);
  }
}

void replica_core::Handle(const replica_message& message,
                          const snapshot_chunk& body) {
  if (!FollowLeader(message)) {
    Send(message.from, append_reply{.read_sequence = body.read_sequence,
                                    .clock_reading = ClockReading()});
    return;
  }
  if (body.snapshot_index > commit_index_) {
    if (auto snapshot = receiver_.OnChunk(body)) {
      InstallSnapshot(std::move(*snapshot));
    }
  }
  if (body.snapshot_index <= commit_index_) {
    Send(message.from, append_reply{.accepted = true,
                                    .index = body.snapshot_index,
                                    .read_sequence = body.read_sequence,
                                    .clock_reading = ClockReading()});
    return;
  }
  Send(message.from, snapshot_reply{.snapshot_index = body.snapshot_index,
                                    .next_offset = receiver_.NextOffset(),
                                    .read_sequence = body.read_sequence});
}

void replica_core::InstallSnapshot(log_snapshot snapshot) {
  const log_position end{.term = snapshot.term, .index = snapshot.index};
  if (log_.Contains(end)) {
    AdvanceFollowerCommit(end.index);
    return;
  }
  auto shared = std::make_shared<const log_snapshot>(std::move(snapshot));
  log_.Restore(shared);
  persist_.AddSnapshot(shared, true);
  durable_index_ = std::min(durable_index_, end.index);
  commit_index_ = end.index;
  output_.committed.clear();
  output_.restore = std::move(shared);
}

void replica_core::OnSnapshotTaken(std::uint64_t index, std::string state) {
  const auto& previous = log_.Snapshot();
  if (previous && previous->index >= index) return;
  const std::optional<std::uint64_t> term = log_.TermAt(index);
  if (index > commit_index_ || !term || index <= log_.BaseIndex()) return;
  auto snapshot = std::make_shared<const log_snapshot>(
      log_snapshot{.index = index,
                   .term = *term,
                   .accepted_at_us = log_.At(index).accepted_at_us,
                   .membership = log_.MembershipAt(index),
                   .state = std::move(state)});
  log_.Compact(snapshot, options_.retained);
  persist_.AddSnapshot(std::move(snapshot), false);
}

}  // namespace hornbeam
