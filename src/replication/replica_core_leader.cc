// Leader of replica_core: replication, commit index and reads. Membership
// changes are in replica_core_membership.cc.
#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

#include "replication/replica_codec.h"
#include "replication/replica_core.h"

namespace hornbeam {

void replica_core::BecomeLeader() {
  role_ = replica_role::kLeader;
  leader_ = self_;
  failed_campaigns_ = 0;
  leader_since_ = now_;
  next_heartbeat_ = now_;
  peers_.clear();
  round_starts_ = {};
  uncommitted_bytes_ = 0;
  for (std::uint64_t i = commit_index_ + 1; i <= log_.LastIndex(); ++i) {
    uncommitted_bytes_ += log_.At(i).command.size();
  }
  SyncPeersWithMembership();
  first_index_of_term_ = log_.LastIndex() + 1;
  AppendAsLeader(entry_kind::kNoOp, {}, {}, log_.LastAcceptedAtUs());
}

result<log_position, propose_error> replica_core::Propose(
    std::string command, wall_time_point accepted_at) {
  if (role_ != replica_role::kLeader) return propose_error::kNotLeader;
  const std::size_t size = command.size();
  if (size > options_.max_command_bytes) return propose_error::kTooLarge;
  if (uncommitted_bytes_ + size > options_.max_uncommitted_bytes) {
    return propose_error::kOverloaded;
  }
  const std::int64_t accepted_at_us = std::max<std::int64_t>(
      accepted_at.time_since_epoch().count(), log_.LastAcceptedAtUs());
  uncommitted_bytes_ += size;
  AppendAsLeader(entry_kind::kCommand, std::move(command), {}, accepted_at_us);
  return log_.Last();
}

void replica_core::AppendAsLeader(entry_kind kind, std::string command,
                                  replica_membership membership,
                                  std::int64_t accepted_at_us) {
  log_entry entry{.index = log_.LastIndex() + 1,
                  .term = hard_state_.term,
                  .kind = kind,
                  .accepted_at_us = accepted_at_us,
                  .command = std::move(command),
                  .membership = std::move(membership)};
  persist_.AddEntry(entry);
  log_.Append(std::move(entry));
}

void replica_core::SyncPeersWithMembership() {
  const replica_membership& membership = log_.Membership();
  std::erase_if(peers_, [&](const auto& peer) {
    return membership.Find(peer.first) == nullptr;
  });
  for (const replica_member& member : membership.members) {
    if (member.identity == self_) continue;
    const auto [peer, added] = peers_.try_emplace(member.identity);
    if (!added) continue;
    peer->second.next_index = log_.LastIndex() + 1;
    peer->second.added_at = now_;
  }
}

std::uint64_t replica_core::MatchIndex(const replica_identity& id) const {
  if (role_ != replica_role::kLeader) return 0;
  if (id == self_) return durable_index_;
  const auto peer = peers_.find(id);
  return peer == peers_.end() ? 0 : peer->second.match_index;
}

// ---- Replication ----

void replica_core::SendHeartbeats() {
  next_heartbeat_ = now_ + options_.heartbeat_interval;
  round_starts_.Add(now_, reads_.BeginRound());
  for (auto& [peer, progress] : peers_) {
    if (progress.transfer) {
      SendSnapshotChunk(peer, progress);
    } else if (progress.probing) {
      progress.probe_sent = false;
    } else {
      SendAppend(peer, progress, {});
    }
  }
  ConfirmReads();
}

void replica_core::SendEntries(const replica_identity& peer,
                               peer_progress& progress) {
  if (progress.transfer) {
    if (!progress.transfer->chunk_sent) SendSnapshotChunk(peer, progress);
    return;
  }
  if (!log_.TermAt(progress.next_index - 1)) {
    StartSnapshotTransfer(peer, progress);
    return;
  }
  if (progress.probing) {
    if (std::exchange(progress.probe_sent, true)) return;
    SendAppend(peer, progress,
               log_.Slice(progress.next_index, options_.max_batch_bytes));
    return;
  }
  while (progress.next_index <= log_.LastIndex() &&
         progress.in_flight.size() < peer_progress::kMaxInFlight) {
    auto entries = log_.Slice(progress.next_index, options_.max_batch_bytes);
    const std::uint64_t last = entries.back().index;
    SendAppend(peer, progress, std::move(entries));
    progress.next_index = last + 1;
    progress.in_flight.push_back(last);
  }
}

void replica_core::SendAppend(const replica_identity& peer,
                              const peer_progress& progress,
                              std::vector<log_entry> entries) {
  const std::uint64_t previous = progress.next_index - 1;
  const std::optional<std::uint64_t> term = log_.TermAt(previous);
  if (!term) return;  // SendEntries starts a snapshot transfer.
  SendImmediately(
      peer, append_request{.previous = {.term = *term, .index = previous},
                           .commit_index = commit_index_,
                           .read_sequence = reads_.Sequence(),
                           .confirmed_reading =
                               progress.clock_readings.Confirmed().value_or(0),
                           .entries = std::move(entries)});
}

void replica_core::StartSnapshotTransfer(const replica_identity& peer,
                                         peer_progress& progress) {
  const auto& snapshot = log_.Snapshot();
  assert(snapshot);
  if (!encoded_snapshot_ || encoded_snapshot_index_ != snapshot->index) {
    encoded_snapshot_ =
        std::make_shared<const std::string>(EncodeLogSnapshot(*snapshot));
    encoded_snapshot_index_ = snapshot->index;
  }
  snapshot_transfer& transfer = progress.transfer.emplace();
  transfer.position = {.term = snapshot->term, .index = snapshot->index};
  transfer.bytes = encoded_snapshot_;
  SendSnapshotChunk(peer, progress);
}

void replica_core::SendSnapshotChunk(const replica_identity& peer,
                                     peer_progress& progress) {
  snapshot_transfer& transfer = *progress.transfer;
  const bool chunk_in_flight =
      transfer.chunk_sent &&
      now_ - transfer.sent_at < options_.election_timeout;
  snapshot_chunk chunk{.snapshot_index = transfer.position.index,
                       .snapshot_term = transfer.position.term,
                       .offset = transfer.offset,
                       .total_size = transfer.bytes->size(),
                       .read_sequence = reads_.Sequence(),
                       .bytes = {}};
  // While a chunk is in flight, an empty one serves as heartbeat.
  if (!chunk_in_flight) {
    chunk.bytes =
        transfer.bytes->substr(static_cast<std::size_t>(transfer.offset),
                               options_.max_snapshot_chunk_bytes);
    transfer.chunk_sent = true;
    transfer.sent_at = now_;
  }
  SendImmediately(peer, std::move(chunk));
}

peer_progress* replica_core::RecordReply(const replica_message& message,
                                         std::uint64_t read_sequence) {
  if (role_ != replica_role::kLeader) return nullptr;
  if (message.term != hard_state_.term) return nullptr;
  const auto peer = peers_.find(message.from);
  if (peer == peers_.end()) return nullptr;
  peer->second.has_replied = true;
  peer->second.last_heard_at = now_;
  peer->second.read_sequence =
      std::max(peer->second.read_sequence, read_sequence);
  ConfirmReads();
  return &peer->second;
}

void replica_core::Handle(const replica_message& message,
                          const append_reply& body) {
  peer_progress* progress = RecordReply(message, body.read_sequence);
  if (progress == nullptr) return;
  // A round that began before the reading arrived proves nothing about it.
  progress->clock_readings.Add(body.clock_reading, reads_.Sequence() + 1);
  if (!body.accepted) {
    if (!progress->transfer) progress->OnRejected(body.index, body.hint_index);
    return;
  }
  if (body.index > log_.LastIndex()) return;
  if (progress->transfer && body.index >= progress->transfer->position.index) {
    progress->transfer.reset();
  }
  progress->OnAccepted(body.index);
  AdvanceLeaderCommit();
}

void replica_core::Handle(const replica_message& message,
                          const snapshot_reply& body) {
  peer_progress* progress = RecordReply(message, body.read_sequence);
  if (progress == nullptr || !progress->transfer) return;
  snapshot_transfer& transfer = *progress->transfer;
  if (body.snapshot_index != transfer.position.index) return;
  if (body.next_offset == transfer.offset) return;
  if (body.next_offset >= transfer.bytes->size()) return;
  transfer.offset = body.next_offset;
  transfer.chunk_sent = false;
}

// ---- Commit index and reads ----

std::uint64_t replica_core::QuorumValue(
    std::uint64_t own, std::uint64_t peer_progress::* value) const {
  std::vector<std::uint64_t> values;
  for (const replica_member& member : log_.Membership().members) {
    if (!member.voter) continue;
    values.push_back(
        member.identity == self_ ? own : peers_.at(member.identity).*value);
  }
  const std::size_t quorum = log_.Membership().QuorumSize();
  if (values.size() < quorum) return 0;
  std::ranges::sort(values, std::ranges::greater());
  return values[quorum - 1];
}

void replica_core::AdvanceLeaderCommit() {
  const std::uint64_t index =
      QuorumValue(durable_index_, &peer_progress::match_index);
  if (index <= commit_index_) return;
  // An entry of an earlier term may be on a majority of the voters and still be
  // overwritten. It is safe only once an entry of the current term after it is
  // on a majority.
  if (log_.TermAt(index) != hard_state_.term) return;
  EmitCommitted(index);
  ConfirmReads();
  // The next tick sends the new commit index to the peers.
  next_heartbeat_ = now_;
}

bool replica_core::HasCommittedInCurrentTerm() const {
  return role_ == replica_role::kLeader &&
         commit_index_ >= first_index_of_term_;
}

void replica_core::RequestRead(std::uint64_t read_id) {
  if (role_ != replica_role::kLeader) {
    output_.failed_reads.push_back(read_id);
  } else {
    reads_.Add(read_id);
  }
}

void replica_core::ConfirmReads() {
  // Until then the leader may not know all entries that earlier leaders
  // committed.
  if (!HasCommittedInCurrentTerm()) return;
  const std::uint64_t sequence =
      QuorumValue(reads_.Sequence(), &peer_progress::read_sequence);
  for (const std::uint64_t read_id : reads_.TakeConfirmed(sequence)) {
    output_.confirmed_reads.push_back(read_id);
  }
  round_starts_.OnConfirmed(sequence);
  current_as_of_ = std::max(
      current_as_of_, round_starts_.Confirmed().value_or(time_point::min()));
  for (auto& [peer, progress] : peers_) {
    // Replicas are unproved after a change of leader, so they are told soon.
    if (progress.clock_readings.OnConfirmed(sequence)) next_heartbeat_ = now_;
  }
}

bool replica_core::HasActiveQuorum() const {
  if (now_ - leader_since_ < options_.election_timeout) return true;
  const auto is_heard = [&](const replica_member& member) {
    return member.voter && WasHeardRecently(member.identity);
  };
  const auto heard_count = static_cast<std::size_t>(
      std::ranges::count_if(log_.Membership().members, is_heard));
  return heard_count >= log_.Membership().QuorumSize();
}

bool replica_core::WasHeardRecently(const replica_identity& id) const {
  if (id == self_) return true;
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.has_replied &&
         now_ - peer->second.last_heard_at < options_.election_timeout;
}

}  // namespace hornbeam
