// Role of a replica in the replication protocol.
#pragma once

#include <cstdint>
#include <string_view>

namespace hornbeam {

enum class replica_role : std::uint8_t {
  kUnformed,  // The disk was empty and no cluster is known yet.
  kFollower,  // Includes learners.
  kPreCandidate,
  kCandidate,
  kLeader,
};

// Returns the name of `role` in logs and in the output of `hornbeamctl status`.
std::string_view ReplicaRoleName(replica_role role);

}  // namespace hornbeam
