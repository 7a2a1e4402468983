#include "replication/replica_role.h"

namespace hornbeam {

std::string_view ReplicaRoleName(replica_role role) {
  switch (role) {
    case replica_role::kUnformed:
      return "unformed";
    case replica_role::kFollower:
      return "follower";
    case replica_role::kPreCandidate:
      return "pre_candidate";
    case replica_role::kCandidate:
      return "candidate";
    case replica_role::kLeader:
      return "leader";
  }
  return "unknown";
}

}  // namespace hornbeam
