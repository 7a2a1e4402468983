// Membership changes by the leader of replica_core: adds replicas as learners,
// promotes learners, replaces silent voters and keeps the target number of
// voters.
#include <algorithm>
#include <ranges>
#include <utility>

#include "replication/replica_core.h"

namespace hornbeam {

namespace {

// Maximum lag, in entries, at which a learner may become a voter.
constexpr std::uint64_t kCaughtUpLag = 256;

}  // namespace

bool replica_core::CanChangeMembership() const {
  return HasCommittedInCurrentTerm() && log_.MembershipIndex() <= commit_index_;
}

void replica_core::ChangeMembership(replica_membership membership) {
  AppendAsLeader(entry_kind::kMembership, {}, std::move(membership),
                 log_.LastAcceptedAtUs());
  SyncPeersWithMembership();
}

bool replica_core::IsCaughtUp(const replica_identity& id) const {
  return WasHeardRecently(id) &&
         MatchIndex(id) + kCaughtUpLag >= log_.LastIndex() &&
         MatchIndex(id) > 0;
}

void replica_core::MaybeAddLearner(const replica_identity& replica) {
  if (!CanChangeMembership() || replica.name == self_.name) return;
  const bool is_configured =
      std::ranges::find(options_.configured_names, replica.name) !=
      options_.configured_names.end();
  if (!is_configured && options_.target_voters == 0) return;
  replica_membership changed = log_.Membership();
  if (changed.Find(replica) != nullptr) return;
  // If the voter with this name is still active, two processes share the name,
  // and the second one is not added.
  const replica_member* voter = changed.FindVoter(replica.name);
  if (voter != nullptr && WasHeardRecently(voter->identity)) return;
  std::erase_if(changed.members, [&](const replica_member& member) {
    return member.identity.name == replica.name && !member.voter;
  });
  changed.members.push_back({.identity = replica, .voter = false});
  ChangeMembership(std::move(changed));
}

void replica_core::MaybeChangeMembership() {
  if (!CanChangeMembership()) return;
  replica_membership changed = log_.Membership();
  if (RemoveObsoleteLearner(changed) || ReduceSurplusVoters(changed) ||
      AdvanceLearner(changed)) {
    ChangeMembership(std::move(changed));
  }
}

// Sends hellos to the configured names from which the leader receives nothing.
// If none of the configured replicas is a voter any more, those that lost their
// disks send hellos only to each other and would not find the cluster.
void replica_core::SendHellosToMissingNames() {
  next_hello_ = now_ + options_.election_timeout;
  if (options_.target_voters == 0) return;
  const auto is_heard = [&](const std::string& name) {
    return std::ranges::any_of(log_.Membership().members,
                               [&](const replica_member& member) {
                                 return member.identity.name == name &&
                                        WasHeardRecently(member.identity);
                               });
  };
  for (const std::string& name : options_.configured_names) {
    if (name != self_.name && !is_heard(name)) {
      Send({.name = name, .incarnation = 0}, hello_request{});
    }
  }
}

// Removes a silent learner if the voter of the same name is active again, which
// means that its disk was not lost. Without such a voter, a silent learner is
// removed only if there is a target number of voters.
bool replica_core::RemoveObsoleteLearner(replica_membership& membership) const {
  const auto is_obsolete = [&](const replica_member& learner) {
    if (learner.voter || WasHeardRecently(learner.identity)) return false;
    const replica_member* voter = membership.FindVoter(learner.identity.name);
    if (voter != nullptr) return WasHeardRecently(voter->identity);
    return options_.target_voters > 0 && IsSilent(learner.identity);
  };
  const auto found = std::ranges::find_if(membership.members, is_obsolete);
  if (found == membership.members.end()) return false;
  membership.members.erase(found);
  return true;
}

// Makes the next membership change for a learner that has caught up: first
// removes a voter whose disk is known to be lost, then promotes the learner.
bool replica_core::AdvanceLearner(replica_membership& membership) const {
  const auto is_ready = [&](const replica_member& member) {
    return !member.voter && IsCaughtUp(member.identity) &&
           !IsLeaving(member.identity);
  };
  auto ready = membership.members | std::views::filter(is_ready);
  if (ready.empty()) return false;
  if (RemoveSupersededVoter(membership)) return true;
  const auto has_no_voter = [&](const replica_member& learner) {
    return membership.FindVoter(learner.identity.name) == nullptr;
  };
  const auto learner = std::ranges::find_if(ready, has_no_voter);
  return learner != ready.end() && PromoteLearner(membership, *learner);
}

// Removes a voter whose disk is lost, which a learner of the same name shows.
// The voter must be removed before the learner is promoted: an additional voter
// would make the quorum larger, and if the new voter lost its disk as well, the
// remaining voters could no longer form a quorum.
bool replica_core::RemoveSupersededVoter(replica_membership& membership) const {
  auto& members = membership.members;
  const auto is_superseded = [&](const replica_member& voter) {
    if (!voter.voter || WasHeardRecently(voter.identity)) return false;
    return std::ranges::any_of(members, [&](const replica_member& other) {
      return !other.voter && other.identity.name == voter.identity.name;
    });
  };
  const auto found = std::ranges::find_if(members, is_superseded);
  if (found == members.end()) return false;
  members.erase(found);
  return true;
}

// Promotes `learner` to voter unless the target number of voters is reached and
// none of them is silent or leaves. That voter is removed only afterwards,
// because it may return and may be needed for a quorum until then.
bool replica_core::PromoteLearner(const replica_membership& membership,
                                  replica_member& learner) const {
  const std::size_t voters = membership.VoterCount();
  const auto is_replaceable = [this](const replica_member& member) {
    return member.voter &&
           (IsSilent(member.identity) || IsLeaving(member.identity));
  };
  const bool replaces_voter =
      voters == options_.target_voters &&
      std::ranges::any_of(membership.members, is_replaceable);
  if (options_.target_voters > 0 && voters >= options_.target_voters &&
      !replaces_voter) {
    return false;
  }
  learner.voter = true;
  return true;
}

bool replica_core::HasSurplusVoters() const {
  return options_.target_voters > 0 &&
         log_.Membership().VoterCount() > options_.target_voters;
}

// Reduces the number of voters by one if it is above the target: removes a
// silent voter, demotes one that leaves or, if all voters are active, demotes
// one to learner, preferably one without a configured name.
bool replica_core::ReduceSurplusVoters(replica_membership& membership) const {
  if (!HasSurplusVoters()) return false;
  auto& members = membership.members;
  const auto silent = std::ranges::find_if(members, IsSilentVoter());
  if (silent != members.end()) {
    members.erase(silent);
    return true;
  }
  if (DemoteLeavingVoter(membership)) return true;
  // This replica is demoted by the next leader.
  if (leaving_) return false;
  const auto is_other = [&](const replica_member& member) {
    return member.voter && member.identity != self_;
  };
  const auto is_unconfigured_voter = [&](const replica_member& member) {
    return is_other(member) &&
           std::ranges::find(options_.configured_names, member.identity.name) ==
               options_.configured_names.end();
  };
  const auto all_voters_active =
      std::ranges::all_of(members, [&](const replica_member& member) {
        return !member.voter || WasHeardRecently(member.identity);
      });
  auto spare = std::ranges::find_if(members, is_unconfigured_voter);
  if (spare == members.end()) spare = std::ranges::find_if(members, is_other);
  if (!all_voters_active || spare == members.end()) return false;
  spare->voter = false;
  return true;
}

bool replica_core::DemoteLeavingVoter(replica_membership& membership) const {
  const auto leaves = [this](const replica_member& member) {
    return member.voter && member.identity != self_ &&
           IsLeaving(member.identity);
  };
  const auto found = std::ranges::find_if(membership.members, leaves);
  if (found == membership.members.end()) return false;
  found->voter = false;
  return true;
}

bool replica_core::IsSilent(const replica_identity& id) const {
  if (id == self_) return false;
  time_point since = leader_since_;
  const auto peer = peers_.find(id);
  if (peer != peers_.end()) since = std::max(since, peer->second.added_at);
  if (peer != peers_.end() && peer->second.has_replied) {
    since = std::max(since, peer->second.last_heard_at);
  }
  return now_ - since >= options_.replace_silent_after;
}

}  // namespace hornbeam
