#include "controllers/store_mapping.h"

#include <string>

#include "replication/replica_role.h"

namespace hornbeam {

store_status ToStoreStatus(replica_error error) {
  switch (error) {
    case replica_error::kNotLeader:
    case replica_error::kReplaced:
      return store_status::kNotLeader;
    case replica_error::kNoQuorum:
    case replica_error::kOverloaded:
      return store_status::kNoQuorum;
    case replica_error::kTooLarge:
      return store_status::kRejected;
    case replica_error::kTimeout:
    case replica_error::kStorageFailed:
    case replica_error::kStopped:
      return store_status::kTimeout;
  }
  return store_status::kTimeout;
}

replica_error ToReplicaError(store_status status) {
  switch (status) {
    case store_status::kNotLeader:
      return replica_error::kNotLeader;
    case store_status::kNoQuorum:
      return replica_error::kNoQuorum;
    case store_status::kRejected:
      return replica_error::kTooLarge;
    case store_status::kDone:
    case store_status::kTimeout:
      return replica_error::kTimeout;
  }
  return replica_error::kTimeout;
}

store_summary SummarizeStore(store_id store, const replica_status& status) {
  return store_summary{.store = store,
                       .role = std::string(ReplicaRoleName(status.role)),
                       .leader = status.leader,
                       .term = status.term,
                       .commit_index = status.commit_index};
}

}  // namespace hornbeam
