// Membership of one replicated store.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

#include "replication/replica_identity.h"

namespace hornbeam {

// One replica of a store. Only voters count towards a quorum. A learner only
// receives entries; it may become a voter once it has caught up.
struct replica_member {
  replica_identity identity;
  bool voter = false;

  bool operator==(const replica_member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(identity, voter);
  }
};

// The replicas of a store from one log index on. A membership change adds or
// removes one voter at a time, so that the quorums of consecutive memberships
// overlap.
struct replica_membership {
  std::vector<replica_member> members;

  bool operator==(const replica_membership&) const = default;

  [[nodiscard]] const replica_member* Find(const replica_identity& id) const {
    const auto found =
        std::ranges::find(members, id, &replica_member::identity);
    return found == members.end() ? nullptr : &*found;
  }
  [[nodiscard]] bool IsVoter(const replica_identity& id) const {
    const replica_member* member = Find(id);
    return member != nullptr && member->voter;
  }
  [[nodiscard]] const replica_member* FindVoter(std::string_view name) const {
    const auto has_name = [&](const replica_member& member) {
      return member.voter && member.identity.name == name;
    };
    const auto found = std::ranges::find_if(members, has_name);
    return found == members.end() ? nullptr : &*found;
  }
  [[nodiscard]] std::size_t VoterCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(members, &replica_member::voter));
  }
  // Returns the number of voters that form a majority.
  [[nodiscard]] std::size_t QuorumSize() const { return VoterCount() / 2 + 1; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

}  // namespace hornbeam
