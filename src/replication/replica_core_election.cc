// Cluster formation, leader discovery and elections of replica_core.
#include <algorithm>
#include <cassert>
#include <set>
#include <string>
#include <utility>

#include "hornbeam/random_source.h"
#include "replication/replica_core.h"

namespace hornbeam {

namespace {

// A replica that has just started receives a message from an existing leader
// within this many heartbeat intervals.
constexpr int kFirstTimeoutHeartbeats = 2;
// Beyond this many doublings the wait between two campaigns is the election
// timeout.
constexpr unsigned kMaxBackoffDoublings = 8;

}  // namespace

// ---- Cluster formation ----

// Sends a hello to every replica that may know the leader: the configured
// names, the members in the local log and the leaders reported by other
// replicas since the last call.
void replica_core::SendHellos() {
  next_hello_ = now_ + options_.heartbeat_interval;
  std::set<std::string> names(options_.configured_names.begin(),
                              options_.configured_names.end());
  if (options_.target_voters > 0) {
    for (const replica_member& member : log_.Membership().members) {
      names.insert(member.identity.name);
    }
    names.merge(reported_leaders_);
    reported_leaders_.clear();
  }
  names.erase(self_.name);
  for (const std::string& name : names) {
    Send({.name = name, .incarnation = 0}, hello_request{});
  }
}

void replica_core::TryFormCluster() {
  if (!options_.may_found) return;
  auto membership = discovery_.FormableMembership(now_);
  if (!membership) return;
  cluster_formation formation{.cluster_id = random_.Next() | 1U,
                              .membership = std::move(*membership)};
  AdoptFormation(formation);
  for (const replica_member& member : formation.membership.members) {
    if (member.identity == self_) continue;
    Send(member.identity, hello_reply{.formation = formation});
  }
}

void replica_core::AdoptFormation(const cluster_formation& formation) {
  assert(role_ == replica_role::kUnformed);
  hard_state_.formation = formation;
  log_.SetInitialMembership(formation.membership);
  role_ = replica_role::kFollower;
  PersistState();
  ResetElectionDeadline();
}

void replica_core::Handle(const replica_message& message,
                          const hello_request& /*body*/) {
  if (options_.target_voters > 0 && message.cluster_id != 0) {
    reported_leaders_.insert(message.from.name);
  }
  if (role_ == replica_role::kUnformed) {
    Send(message.from, hello_reply{});
    return;
  }
  Send(message.from,
       hello_reply{.formation = hard_state_.formation,
                   .leader = leader_ ? leader_->name : std::string()});
  if (role_ == replica_role::kLeader) MaybeAddLearner(message.from);
}

void replica_core::Handle(const replica_message& message,
                          const hello_reply& body) {
  // Only the leader can add this replica to the membership, and the leader need
  // not have a configured name. All reported names are kept, because a reply
  // may name no leader or a former one.
  if (options_.target_voters > 0 && !body.leader.empty()) {
    reported_leaders_.insert(body.leader);
  }
  if (role_ != replica_role::kUnformed) return;
  if (body.formation) {
    AdoptFormation(*body.formation);
  } else {
    discovery_.OnEmptyReport(message.from, now_);
  }
}

// ---- Elections ----

// The first election timeout after the start is only as long as an existing
// leader needs to contact this replica: after a power loss of the whole cluster
// there is no leader to wait for. The pre-vote prevents a replica that has just
// started from disrupting an existing leader.
void replica_core::ResetElectionDeadline() {
  const duration minimum =
      first_timeout_used_
          ? options_.election_timeout
          : std::min(options_.heartbeat_interval * kFirstTimeoutHeartbeats,
                     options_.election_timeout);
  const duration jitter =
      first_timeout_used_
          ? options_.election_timeout
          : std::min(options_.heartbeat_interval, options_.election_timeout);
  election_deadline_ = now_ + minimum + RandomBelow(jitter);
  first_timeout_used_ = true;
}

duration replica_core::RandomBelow(duration bound) {
  const auto count = static_cast<std::uint64_t>(bound.count());
  return duration(random_.NextBelow(std::max<std::uint64_t>(count, 1)));
}

// Schedules the next campaign with exponential backoff. The first retries are
// soon, because after a power loss of the whole cluster the voters start one
// after the other, and two simultaneous campaigns split the votes.
void replica_core::ScheduleNextCampaign() {
  const duration wait =
      std::min(options_.heartbeat_interval *
                   (1U << std::min(failed_campaigns_, kMaxBackoffDoublings)),
               options_.election_timeout);
  ++failed_campaigns_;
  election_deadline_ = now_ + wait + RandomBelow(wait);
}

void replica_core::Campaign(bool pre_vote) {
  if (pre_vote) {
    ScheduleNextCampaign();
  } else {
    ResetElectionDeadline();
  }
  leader_.reset();
  votes_.Clear();
  if (!pre_vote) {
    ++hard_state_.term;
    hard_state_.voted_for = self_;
    PersistState();
  }
  role_ = pre_vote ? replica_role::kPreCandidate : replica_role::kCandidate;
  const std::uint64_t requested_term = hard_state_.term + (pre_vote ? 1 : 0);
  for (const replica_member& member : log_.Membership().members) {
    if (!member.voter) continue;
    if (member.identity == self_) {
      Send(self_, vote_reply{.pre_vote = pre_vote,
                             .requested_term = requested_term,
                             .granted = true});
    } else {
      SendInTerm(member.identity, requested_term,
                 vote_request{.pre_vote = pre_vote, .last = log_.Last()});
    }
  }
}

void replica_core::Handle(const replica_message& message,
                          const vote_request& body) {
  const bool log_is_current = body.last >= log_.Last();
  bool granted = false;
  if (body.pre_vote) {
    const bool has_leader =
        role_ == replica_role::kLeader ||
        (leader_ && now_ - leader_heard_at_ < options_.election_timeout);
    granted = message.term > hard_state_.term && log_is_current && !has_leader;
  } else if (message.term == hard_state_.term) {
    const bool can_vote =
        !hard_state_.voted_for || hard_state_.voted_for == message.from;
    granted = can_vote && log_is_current;
    if (granted && !hard_state_.voted_for) {
      hard_state_.voted_for = message.from;
      PersistState();
      ResetElectionDeadline();
    }
  }
  Send(message.from, vote_reply{.pre_vote = body.pre_vote,
                                .requested_term = message.term,
                                .granted = granted});
}

void replica_core::Handle(const replica_message& message,
                          const vote_reply& body) {
  const bool pre_voting = role_ == replica_role::kPreCandidate;
  if (!body.granted || body.pre_vote != pre_voting) return;
  if (!pre_voting && role_ != replica_role::kCandidate) return;
  if (body.requested_term != hard_state_.term + (pre_voting ? 1 : 0)) return;
  votes_.Grant(message.from);
  CountVotes();
}

void replica_core::CountVotes() {
  if (!votes_.HasQuorum(log_.Membership())) return;
  if (role_ == replica_role::kPreCandidate) {
    Campaign(false);
  } else {
    BecomeLeader();
  }
}

void replica_core::BecomeFollower(
    std::uint64_t term, const std::optional<replica_identity>& leader) {
  if (role_ == replica_role::kLeader) {
    for (const std::uint64_t read_id : reads_.TakeAll()) {
      output_.failed_reads.push_back(read_id);
    }
    peers_.clear();
    encoded_snapshot_.reset();
    ResetElectionDeadline();
  }
  role_ = replica_role::kFollower;
  // A new leader is told at once.
  if (leader_ != leader) next_leave_message_ = now_;
  leader_ = leader;
  if (term == hard_state_.term) return;
  assert(term > hard_state_.term);
  hard_state_.term = term;
  hard_state_.voted_for.reset();
  PersistState();
}

}  // namespace hornbeam
