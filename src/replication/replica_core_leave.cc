// Planned stops: a replica hands over its vote and its leadership.
#include <algorithm>
#include <ranges>

#include "replication/replica_core.h"

namespace hornbeam {

namespace {

// A replica repeats its leave request once per heartbeat interval. One that
// stopped without a successor counts as leaving no longer than this.
constexpr int kLeaveLifetimeInElectionTimeouts = 2;

}  // namespace

void replica_core::BeginLeave() { leaving_ = true; }

bool replica_core::IsLeaving(const replica_identity& id) const {
  if (id == self_) return leaving_;
  const auto requested = leave_requested_at_.find(id);
  return requested != leave_requested_at_.end() &&
         now_ - requested->second <
             options_.election_timeout * kLeaveLifetimeInElectionTimeouts;
}

// Only the leader knows which learners have caught up. A learner with the name
// of a voter replaces that voter only.
bool replica_core::HasLearnerToPromote() const {
  if (options_.target_voters == 0) return false;
  const replica_membership& membership = log_.Membership();
  return std::ranges::any_of(
      membership.members, [&](const replica_member& member) {
        const bool may_be_ready =
            role_ != replica_role::kLeader || IsCaughtUp(member.identity);
        return !member.voter && may_be_ready && !IsLeaving(member.identity) &&
               membership.FindVoter(member.identity.name) == nullptr;
      });
}

bool replica_core::IsReadyToStop() const {
  if (role_ == replica_role::kUnformed) return true;
  if (role_ == replica_role::kLeader) {
    const auto can_follow = [this](const replica_member& member) {
      return member.voter && member.identity != self_ &&
             WasHeardRecently(member.identity) && !IsLeaving(member.identity);
    };
    return std::ranges::none_of(log_.Membership().members, can_follow);
  }
  if (!IsVoter()) return log_.MembershipIndex() <= commit_index_;
  return !HasSurplusVoters() && !HasLearnerToPromote();
}

void replica_core::SendLeaveRequest() {
  if (!IsVoter() || !leader_ || now_ < next_leave_message_) return;
  next_leave_message_ = now_ + options_.heartbeat_interval;
  Send(*leader_, leave_request{});
}

void replica_core::Handle(const replica_message& message,
                          const leave_request& /*body*/) {
  if (role_ != replica_role::kLeader) return;
  if (log_.Membership().Find(message.from) == nullptr) return;
  leave_requested_at_[message.from] = now_;
}

// The vote is handed over first: a learner is promoted while this replica still
// leads. Then the voter whose log is complete campaigns; it demotes this
// replica when it leads.
void replica_core::MaybeTransferLeadership() {
  if (now_ < next_leave_message_ || !CanChangeMembership()) return;
  const replica_membership& membership = log_.Membership();
  if (!HasSurplusVoters() && HasLearnerToPromote()) return;
  const auto can_lead = [this](const replica_member& member) {
    return member.voter && member.identity != self_ &&
           WasHeardRecently(member.identity) && !IsLeaving(member.identity) &&
           MatchIndex(member.identity) == log_.LastIndex();
  };
  const auto next = std::ranges::find_if(membership.members, can_lead);
  if (next == membership.members.end()) return;
  next_leave_message_ = now_ + options_.election_timeout;
  Send(next->identity, take_over_request{});
}

void replica_core::Handle(const replica_message& message,
                          const take_over_request& /*body*/) {
  const bool is_from_leader =
      message.term == hard_state_.term && leader_ == message.from;
  if (!is_from_leader || leaving_ || !IsVoter()) return;
  Campaign(false);
}

}  // namespace hornbeam
