#include "replication/cluster_discovery.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

cluster_discovery::cluster_discovery(replica_identity self,
                                     std::vector<std::string> configured_names,
                                     duration report_lifetime)
    : self_(std::move(self)),
      configured_names_(std::move(configured_names)),
      report_lifetime_(report_lifetime) {
  configured_names_.push_back(self_.name);
  std::ranges::sort(configured_names_);
  const auto duplicates = std::ranges::unique(configured_names_);
  configured_names_.erase(duplicates.begin(), duplicates.end());
}

void cluster_discovery::OnEmptyReport(const replica_identity& replica,
                                      time_point now) {
  if (!std::ranges::binary_search(configured_names_, replica.name)) return;
  reports_[replica.name] = {.incarnation = replica.incarnation, .at = now};
}

std::optional<replica_membership> cluster_discovery::FormableMembership(
    time_point now) const {
  if (configured_names_.front() != self_.name) return std::nullopt;
  replica_membership membership;
  for (const std::string& name : configured_names_) {
    if (name == self_.name) {
      membership.members.push_back({.identity = self_, .voter = true});
      continue;
    }
    const auto report = reports_.find(name);
    if (report == reports_.end()) return std::nullopt;
    if (now - report->second.at > report_lifetime_) return std::nullopt;
    membership.members.push_back(
        {.identity = {.name = name, .incarnation = report->second.incarnation},
         .voter = true});
  }
  return membership;
}

}  // namespace hornbeam
