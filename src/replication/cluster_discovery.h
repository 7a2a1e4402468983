// Bootstrap of a new cluster from replicas whose disks are all empty.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeam/clock_source.h"
#include "replication/replica_identity.h"
#include "replication/replica_membership.h"

namespace hornbeam {

// Decides whether this replica may form a cluster. It may if its own name is
// the lowest and every configured replica, including itself, recently reported
// an empty disk. Owned and called by replica_core.
//
// A majority of empty reports is not enough: if two of three replicas lost
// their disks, the second before the first was repaired, they would form a
// second cluster while the third, which is temporarily partitioned, holds every
// accepted entry. A replica that ever belonged to a cluster never reports an
// empty disk, so one surviving disk prevents a new cluster as long as its name
// is configured.
//
// Limits:
// - The first start waits until all configured replicas are up.
// - After the loss of a majority of the disks, even while the first cluster
//   forms, the remaining replicas serve nothing and an operator has to decide.
// - After the loss of all disks a new, empty cluster forms.
// - If the founder loses its disk shortly after it formed the cluster, a
//   replica may stay bound to that first formation. A formation needs a
//   majority of replicas bound to it and each replica is bound only once, so
//   two formations never both reach a majority.
class cluster_discovery {
 public:
  // A report counts as recent for `report_lifetime`.
  cluster_discovery(replica_identity self,
                    std::vector<std::string> configured_names,
                    duration report_lifetime);

  // Records the report of `replica` that its disk is empty. Ignores names that
  // are not configured.
  void OnEmptyReport(const replica_identity& replica, time_point now);

  // Returns the members, all voters, of the cluster that this replica may form
  // now, or std::nullopt if it may not form one.
  [[nodiscard]] std::optional<replica_membership> FormableMembership(
      time_point now) const;

 private:
  struct empty_report {
    std::uint64_t incarnation = 0;
    time_point at;
  };

  const replica_identity self_;
  std::vector<std::string> configured_names_;  // Sorted, unique.
  const duration report_lifetime_;
  std::map<std::string, empty_report> reports_;
};

}  // namespace hornbeam
