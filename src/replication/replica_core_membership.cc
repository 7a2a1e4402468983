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
  // The voter with this name is still active: two processes share a name.
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

// Sends hellos to the configured names from which the leader receives nothing.
// If none of the configured replicas is a voter any more, those that lost their
// disks send hellos only to each other and would not find the cluster.
void replica_core::CallMissingNames() {
  next_hello_ = now_ + options_.election_timeout;
  if (options_.wanted_voters == 0) return;
  const auto is_heard = [&](const std::string& name) {
    return std::ranges::any_of(log_.Membership().members,
                               [&](const replica_member& member) {
                                 return member.identity.name == name &&
                                        WasHeardLately(member.identity);
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

// Makes the next membership change for a learner that has caught up: first
// removes a voter whose disk is known to be lost, then promotes the learner.
bool replica_core::AdmitLearner(replica_membership& membership) const {
  const auto is_ready = [&](const replica_member& member) {
    return !member.voter && IsCaughtUp(member.identity);
  };
  auto ready = membership.members | std::views::filter(is_ready);
  if (ready.empty()) return false;
  if (DropSucceededVoter(membership)) return true;
  const auto has_new_name = [&](const replica_member& learner) {
    return membership.FindVoter(learner.identity.name) == nullptr;
  };
  const auto learner = std::ranges::find_if(ready, has_new_name);
  return learner != ready.end() && AdmitNewName(membership, *learner);
}

// Removes a voter whose disk is lost, which a learner of the same name shows.
// The voter must be removed before the learner is promoted: an additional voter
// would make the quorum larger, and if the new voter lost its disk as well, the
// remaining voters could no longer form a quorum.
bool replica_core::DropSucceededVoter(replica_membership& membership) const {
  auto& members = membership.members;
  const auto is_succeeded = [&](const replica_member& voter) {
    if (!voter.voter || WasHeardLately(voter.identity)) return false;
    return std::ranges::any_of(members, [&](const replica_member& other) {
      return !other.voter && other.identity.name == voter.identity.name;
    });
  };
  const auto found = std::ranges::find_if(members, is_succeeded);
  if (found == members.end()) return false;
  members.erase(found);
  return true;
}

// Promotes `learner` to voter if there are fewer voters than wanted, or if it
// replaces a silent voter. The silent voter is removed only afterwards, because
// it may return and may be needed for a quorum until then.
bool replica_core::AdmitNewName(const replica_membership& membership,
                                replica_member& learner) const {
  const std::size_t voters = membership.VoterCount();
  const bool stands_in =
      voters == options_.wanted_voters &&
      std::ranges::any_of(membership.members, IsSilentVoter());
  if (options_.wanted_voters > 0 && voters >= options_.wanted_voters &&
      !stands_in) {
    return false;
  }
  learner.voter = true;
  return true;
}

// Handles a voter too many: removes a silent voter, or else, if all voters are
// active, demotes one to learner, preferably one without a configured name.
bool replica_core::DropSurplusVoter(replica_membership& membership) const {
  if (options_.wanted_voters == 0 ||
      membership.VoterCount() <= options_.wanted_voters) {
    return false;
  }
  auto& members = membership.members;
  const auto silent = std::ranges::find_if(members, IsSilentVoter());
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
