// What a leader does: replication, commitment, reads and membership.
#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

#include "replication/replica_codec.h"
#include "replication/replica_core.h"

namespace hornbeam {

namespace {

// A learner that lags by no more than this is ready to be a voter.
constexpr std::uint64_t kCaughtUpLag = 256;  // Entries.

}  // namespace

void replica_core::BecomeLeader() {
  role_ = replica_role::kLeader;
  leader_ = self_;
  lost_campaigns_ = 0;
  led_since_ = now_;
  next_heartbeat_ = now_;
  peers_.clear();
  uncommitted_bytes_ = 0;
  for (std::uint64_t i = commit_index_ + 1; i <= log_.LastIndex(); ++i) {
    uncommitted_bytes_ += log_.At(i).command.size();
  }
  SyncPeersWithMembership();
  first_own_index_ = log_.LastIndex() + 1;
  AppendOwn(entry_kind::kNoOp, {}, {}, log_.LastAcceptedAtUs());
}

result<log_position, propose_error> replica_core::Propose(
    std::string command, wall_time_point accepted_at) {
  if (role_ != replica_role::kLeader) return propose_error::kNotLeader;
  const std::size_t size = command.size();
  if (size > options_.max_command_bytes) return propose_error::kTooLarge;
  if (uncommitted_bytes_ + size > options_.max_uncommitted_bytes) {
    return propose_error::kOverloaded;
  }
  const std::int64_t at = std::max<std::int64_t>(
      accepted_at.time_since_epoch().count(), log_.LastAcceptedAtUs());
  uncommitted_bytes_ += size;
  AppendOwn(entry_kind::kCommand, std::move(command), {}, at);
  return log_.Last();
}

void replica_core::AppendOwn(entry_kind kind, std::string command,
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
    peer->second.known_since = now_;
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
  reads_.BeginRound();
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
    StartTransfer(peer, progress);
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
  SendAtOnce(peer,
             append_request{.previous = {.term = *term, .index = previous},
                            .commit_index = commit_index_,
                            .read_sequence = reads_.Sequence(),
                            .entries = std::move(entries)});
}

void replica_core::StartTransfer(const replica_identity& peer,
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
  const bool waits = transfer.chunk_sent &&
                     now_ - transfer.sent_at < options_.election_timeout;
  snapshot_chunk chunk{.snapshot_index = transfer.position.index,
                       .snapshot_term = transfer.position.term,
                       .offset = transfer.offset,
                       .total_size = transfer.bytes->size(),
                       .read_sequence = reads_.Sequence(),
                       .bytes = {}};
  // While a chunk is on its way an empty one serves as heartbeat.
  if (!waits) {
    chunk.bytes =
        transfer.bytes->substr(static_cast<std::size_t>(transfer.offset),
                               options_.max_snapshot_chunk_bytes);
    transfer.chunk_sent = true;
    transfer.sent_at = now_;
  }
  SendAtOnce(peer, std::move(chunk));
}

peer_progress* replica_core::HeardFrom(const replica_message& message,
                                       std::uint64_t read_sequence) {
  if (role_ != replica_role::kLeader) return nullptr;
  if (message.term != hard_state_.term) return nullptr;
  const auto peer = peers_.find(message.from);
  if (peer == peers_.end()) return nullptr;
  peer->second.heard = true;
  peer->second.last_heard = now_;
  peer->second.read_sequence =
      std::max(peer->second.read_sequence, read_sequence);
  ConfirmReads();
  return &peer->second;
}

void replica_core::Handle(const replica_message& message,
                          const append_reply& body) {
  peer_progress* progress = HeardFrom(message, body.read_sequence);
  if (progress == nullptr) return;
  if (!body.accepted) {
    if (!progress->transfer) progress->OnRefused(body.index, body.hint_index);
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
  peer_progress* progress = HeardFrom(message, body.read_sequence);
  if (progress == nullptr || !progress->transfer) return;
  snapshot_transfer& transfer = *progress->transfer;
  if (body.snapshot_index != transfer.position.index) return;
  if (body.next_offset == transfer.offset) return;
  if (body.next_offset >= transfer.bytes->size()) return;
  transfer.offset = body.next_offset;
  transfer.chunk_sent = false;
}

// ---- Commitment and reads ----

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
  // An entry of an older term may be on a majority and still be replaced; only
  // one of the own term settles it.
  if (log_.TermAt(index) != hard_state_.term) return;
  EmitCommitted(index);
  ConfirmReads();
  // The others learn of it with the next tick.
  next_heartbeat_ = now_;
}

bool replica_core::CommittedInOwnTerm() const {
  return role_ == replica_role::kLeader && commit_index_ >= first_own_index_;
}

void replica_core::RequestRead(std::uint64_t read) {
  if (role_ != replica_role::kLeader) {
    output_.failed_reads.push_back(read);
  } else {
    reads_.Add(read);
  }
}

void replica_core::ConfirmReads() {
  // Before that the leader doesn't know all that its predecessors committed.
  if (!CommittedInOwnTerm()) return;
  const std::uint64_t sequence =
      QuorumValue(reads_.Sequence(), &peer_progress::read_sequence);
  for (const std::uint64_t read : reads_.TakeConfirmed(sequence)) {
    output_.confirmed_reads.push_back(read);
  }
}

bool replica_core::HearsQuorum() const {
  if (now_ - led_since_ < options_.election_timeout) return true;
  const auto is_heard = [&](const replica_member& member) {
    return member.voter && WasHeardLately(member.identity);
  };
  const auto heard = static_cast<std::size_t>(
      std::ranges::count_if(log_.Membership().members, is_heard));
  return heard >= log_.Membership().QuorumSize();
}

bool replica_core::WasHeardLately(const replica_identity& id) const {
  if (id == self_) return true;
  const auto peer = peers_.find(id);
  return peer != peers_.end() && peer->second.heard &&
         now_ - peer->second.last_heard < options_.election_timeout;
}

// ---- Membership ----

bool replica_core::MayChangeMembership() const {
  return CommittedInOwnTerm() && log_.MembershipIndex() <= commit_index_;
}

void replica_core::ChangeMembership(replica_membership membership) {
  AppendOwn(entry_kind::kMembership, {}, std::move(membership),
            log_.LastAcceptedAtUs());
  SyncPeersWithMembership();
}

bool replica_core::IsCaughtUp(const replica_identity& id) const {
  return WasHeardLately(id) &&
         MatchIndex(id) + kCaughtUpLag >= log_.LastIndex() &&
         MatchIndex(id) > 0;
}

void replica_core::ConsiderNewReplica(const replica_identity& replica) {
  if (!MayChangeMembership() || replica.name == self_.name) return;
  const bool is_configured =
      std::ranges::find(options_.configured_names, replica.name) !=
      options_.configured_names.end();
  if (!is_configured && options_.wanted_voters == 0) return;
  replica_membership changed = log_.Membership();
  if (changed.Find(replica) != nullptr) return;
  // The name's present bearer is alive: two processes share a name.
  const replica_member* bearer = changed.FindVoter(replica.name);
  if (bearer != nullptr && WasHeardLately(bearer->identity)) return;
  std::erase_if(changed.members, [&](const replica_member& member) {
    return member.identity.name == replica.name && !member.voter;
  });
  changed.members.push_back({.identity = replica, .voter = false});
  ChangeMembership(std::move(changed));
}

void replica_core::ConsiderMembership() {
  if (!MayChangeMembership()) return;
  replica_membership changed = log_.Membership();
  if (DropAbandonedLearner(changed) || DropSurplusVoter(changed) ||
      AdmitLearner(changed)) {
    ChangeMembership(std::move(changed));
  }
}

// A learner is abandoned when the voter of its name is back: the disk was not
// lost after all.
bool replica_core::DropAbandonedLearner(replica_membership& membership) const {
  const auto is_abandoned = [&](const replica_member& learner) {
    if (learner.voter || WasHeardLately(learner.identity)) return false;
    const replica_member* voter = membership.FindVoter(learner.identity.name);
    if (voter != nullptr) return WasHeardLately(voter->identity);
    return options_.wanted_voters > 0 && IsSilent(learner.identity);
  };
  const auto found = std::ranges::find_if(membership.members, is_abandoned);
  if (found == membership.members.end()) return false;
  membership.members.erase(found);
  return true;
}

// Takes the next step for a learner that has caught up: its silent predecessor
// goes, then it becomes a voter.
bool replica_core::AdmitLearner(replica_membership& membership) const {
  const auto is_ready = [&](const replica_member& member) {
    return !member.voter && IsCaughtUp(member.identity);
  };
  const auto ready = std::ranges::find_if(membership.members, is_ready);
  if (ready == membership.members.end()) return false;
  const replica_member* predecessor =
      membership.FindVoter(ready->identity.name);
  if (predecessor == nullptr) return AdmitNewName(membership, *ready);
  if (WasHeardLately(predecessor->identity)) return false;
  std::erase(membership.members, replica_member(*predecessor));
  return true;
}

// Fills up the wanted number, or stands in for a voter that stays silent. That
// one goes only afterwards: it may come back, and until then it may be needed.
bool replica_core::AdmitNewName(const replica_membership& membership,
                                replica_member& learner) const {
  const std::size_t voters = membership.VoterCount();
  const auto is_gone = [&](const replica_member& member) {
    return member.voter && IsSilent(member.identity);
  };
  const bool stands_in = voters == options_.wanted_voters &&
                         std::ranges::any_of(membership.members, is_gone);
  if (options_.wanted_voters > 0 && voters >= options_.wanted_voters &&
      !stands_in) {
    return false;
  }
  learner.voter = true;
  return true;
}

// One voter too many: the silent one goes, or one that nobody configured is a
// learner again.
bool replica_core::DropSurplusVoter(replica_membership& membership) const {
  if (options_.wanted_voters == 0 ||
      membership.VoterCount() <= options_.wanted_voters) {
    return false;
  }
  auto& members = membership.members;
  const auto is_silent = [&](const replica_member& member) {
    return member.voter && IsSilent(member.identity);
  };
  const auto silent = std::ranges::find_if(members, is_silent);
  if (silent != members.end()) {
    members.erase(silent);
    return true;
  }
  const auto is_other = [&](const replica_member& member) {
    return member.voter && member.identity != self_;
  };
  const auto is_spare = [&](const replica_member& member) {
    return is_other(member) &&
           std::ranges::find(options_.configured_names, member.identity.name) ==
               options_.configured_names.end();
  };
  const auto everyone_heard =
      std::ranges::all_of(members, [&](const replica_member& member) {
        return !member.voter || WasHeardLately(member.identity);
      });
  auto spare = std::ranges::find_if(members, is_spare);
  if (spare == members.end()) spare = std::ranges::find_if(members, is_other);
  if (!everyone_heard || spare == members.end()) return false;
  spare->voter = false;
  return true;
}

bool replica_core::IsSilent(const replica_identity& id) const {
  if (id == self_) return false;
  time_point since = led_since_;
  const auto peer = peers_.find(id);
  if (peer != peers_.end()) since = std::max(since, peer->second.known_since);
  if (peer != peers_.end() && peer->second.heard) {
    since = std::max(since, peer->second.last_heard);
  }
  return now_ - since >= options_.replace_silent_after;
}

}  // namespace hornbeam
