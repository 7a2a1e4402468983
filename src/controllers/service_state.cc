#include "controllers/service_state.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "policy/subset.h"

namespace hornbeam {

namespace {

zone_distance Distance(const upstream_lease& from, const upstream_lease& to) {
  if (from.node == to.node) return zone_distance::kSameNode;
  if (from.availability_zone == to.availability_zone) {
    return zone_distance::kSameZone;
  }
  return from.region == to.region ? zone_distance::kOtherZone
                                  : zone_distance::kOtherRegion;
}

upstream_id IdOf(const upstream_lease& lease) {
  return upstream_id{lease.node, lease.incarnation};
}

}  // namespace

service_state::service_state(std::string name, const clock_source& clock,
                             random_source& random)
    : name_(std::move(name)),
      clock_(clock),
      random_(random),
      view_(clock),
      ejector_(clock, ejector_options{}),
      retries_(policy_.retries),
      hedges_(policy_.hedges) {
  ApplyPolicy();
}

bool service_state::IsKnown() const {
  return !document_.empty() || !members_.empty();
}

bool service_state::ApplySettings(std::uint64_t revision,
                                  const std::string& document,
                                  const upstream_lease& self) {
  if (revision <= revision_) return false;
  revision_ = revision;
  document_ = document;
  policy_ = MakeServicePolicy(document);
  ApplyPolicy();
  UpdateSubset(self);
  return true;
}

void service_state::ApplyPolicy() {
  retries_ = retry_budget(policy_.retries);
  hedges_ = hedge_budget(policy_.hedges);
  // A new budget starts empty, so its limit also holds across the change.
  probes_.emplace(clock_, policy_.probes);
  classifier_ = std::make_unique<call_classifier>(policy_.classes);
  picker_ = MakePicker(policy_.picker, random_);
}

void service_state::ApplyMembershipUpdate(const membership_update& update,
                                          const upstream_lease& self) {
  members_known_ = members_known_ || (update.complete && update.settled);
  // A control VM that has just started may not know every lease yet, so its
  // full list must not remove members.
  if (update.complete && update.settled) members_.clear();
  const auto is_replaced = [&update](const upstream_lease& member) {
    const auto same_node = [&member](const upstream_lease& other) {
      return other.node == member.node;
    };
    return std::ranges::any_of(update.active_leases, same_node) ||
           std::ranges::find(update.removed_nodes, member.node) !=
               update.removed_nodes.end();
  };
  std::erase_if(members_, is_replaced);
  std::ranges::copy(update.active_leases, std::back_inserter(members_));
  std::ranges::sort(members_, {}, &upstream_lease::node);
  UpdateSubset(self);
}

void service_state::UpdateSubset(const upstream_lease& self) {
  std::vector<subset_member> candidates;
  for (const upstream_lease& lease : members_) {
    if (!lease.draining && !IsDrained(lease.node)) {
      candidates.push_back({IdOf(lease), lease.availability_zone});
    }
  }
  const auto subset =
      ChooseSubset(candidates, self.node, self.availability_zone,
                   subset_options{.size = policy_.subset_size});
  std::vector<upstream_member> chosen;
  std::vector<upstream_id> ids;
  for (const std::size_t index : subset) {
    const upstream_lease* lease = FindMember(candidates[index].id);
    chosen.push_back({candidates[index].id, Distance(self, *lease)});
    ids.push_back(candidates[index].id);
  }
  view_.SetMembers(chosen);
  ejector_.SetMembers(ids);
}

const upstream_lease* service_state::FindNode(std::string_view node) const {
  const auto found = std::ranges::find(members_, node, &upstream_lease::node);
  return found == members_.end() ? nullptr : &*found;
}

bool service_state::IsDrained(std::string_view node) const {
  return std::ranges::find(policy_.drained_nodes, node) !=
         policy_.drained_nodes.end();
}

const upstream_lease* service_state::FindMember(const upstream_id& id) const {
  const auto found = std::ranges::find(members_, id, IdOf);
  return found == members_.end() ? nullptr : &*found;
}

}  // namespace hornbeam
