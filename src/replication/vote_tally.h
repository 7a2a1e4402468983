// Vote count of one election.
#pragma once

#include <algorithm>
#include <cstddef>
#include <set>

#include "replication/replica_identity.h"
#include "replication/replica_membership.h"

namespace hornbeam {

// Counts the granted votes of one election. Each voter of the membership counts
// once; votes of other replicas are ignored. Owned by replica_core.
class vote_tally {
 public:
  void Clear() { granted_.clear(); }
  void Grant(const replica_identity& voter) { granted_.insert(voter); }

  [[nodiscard]] bool HasQuorum(const replica_membership& membership) const {
    const auto counts = [&](const replica_identity& id) {
      return membership.IsVoter(id);
    };
    const auto votes =
        static_cast<std::size_t>(std::ranges::count_if(granted_, counts));
    return votes >= membership.QuorumSize();
  }

 private:
  std::set<replica_identity> granted_;
};

}  // namespace hornbeam
