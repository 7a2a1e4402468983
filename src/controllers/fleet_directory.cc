#include "controllers/fleet_directory.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <numeric>
#include <ranges>
#include <utility>

#include "base/event_log.h"
#include "io/fiber_group.h"
#include "routing/routing_codec.h"
#include "routing/routing_rules.h"

namespace hornbeam {

namespace {

// Returns a member with `lease` and `address`. The load and backoff are taken
// from the entry of `known` with the same node, incarnation and instance.
fleet_member MakeMember(const upstream_lease& lease, const endpoint& address,
                        const std::vector<fleet_member>& known) {
  fleet_member member{.lease = lease, .address = address};
  const auto previous =
      std::ranges::find_if(known, [&](const fleet_member& each) {
        return each.lease.node == lease.node &&
               each.lease.incarnation == lease.incarnation &&
               each.lease.instance == lease.instance;
      });
  if (previous == known.end()) return member;
  member = *previous;
  member.lease = lease;
  member.address = address;
  return member;
}

}  // namespace

fleet_directory::fleet_directory(const clock_source& clock, event_log& log,
                                 const upstream_lease& self,
                                 const fleet_options& options)
    : clock_(clock), log_(log), options_(options), self_(self) {}

fleet_directory::~fleet_directory() = default;

void fleet_directory::Start(control_client& control, fiber_group& fibers) {
  control_ = &control;
  fibers.Start([this] { LeaseLoop(); });
}

void fleet_directory::Stop() {
  stopped_ = true;
  changed_.notify_all();
}

void fleet_directory::WaitForChange(time_point deadline) {
  const std::uint64_t before = change_count_;
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline, [this, before] {
    return stopped_ || change_count_ != before;
  });
}

std::vector<fleet_member>& fleet_directory::Members(std::string_view service) {
  static std::vector<fleet_member> none;
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  none.clear();
  return none;
}

std::size_t fleet_directory::NodeCount() const {
  const auto members = services_ | std::views::values |
                       std::views::transform(&std::vector<fleet_member>::size);
  return std::reduce(members.begin(), members.end(), std::size_t{0});
}

fleet_member* fleet_directory::Find(std::string_view service,
                                    const upstream_id& id) {
  auto& members = Members(service);
  const auto found = std::ranges::find(members, id, &fleet_member::Id);
  return found == members.end() ? nullptr : &*found;
}

void fleet_directory::SetOwnUpstream(std::string_view service,
                                     std::string_view instance,
                                     std::uint32_t slots, bool draining) {
  upstream_lease lease = self_;
  lease.service = service;
  lease.instance = instance;
  lease.slots = slots;
  lease.draining = draining || draining_;
  if (lease == self_) return;
  ++lease.sequence;
  self_ = std::move(lease);
  SendLease();
}

void fleet_directory::BeginDrain() {
  draining_ = true;
  SetOwnUpstream(self_.service, self_.instance, self_.slots, true);
}

void fleet_directory::EndLease() {
  lease_ended_ = true;
  control_->SendToRegistrar(
      lease_end{.node = self_.node, .incarnation = self_.incarnation});
}

void fleet_directory::LeaseLoop() {
  while (!stopped_) {
    control_->SelectPreferredRegistrar();
    SendLease();
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, clock_.Now() + options_.lease_interval,
                        [this] { return stopped_; });
  }
}

void fleet_directory::SendLease() {
  if (control_ == nullptr || lease_ended_) return;
  control_->SendToRegistrar(
      lease_renewal{.lease = self_, .settings_revision = Version()});
}

std::uint64_t fleet_directory::Version() const {
  return table_ ? table_->Table().version : 0;
}

void fleet_directory::OnRegistrarUp() {
  const registrar_search_summary& search = control_->LastSearch();
  log_.Write(event_id::kRegistrarConnected,
             {{"node", self_.node},
              {"registrar", control_->Registrar().ToString()},
              {"version", Version()},
              {"search_ms", search.time.count() / 1000},
              {"tried", search.tried},
              {"failed", search.failed}});
  SendLease();
  control_->SendToRegistrar(routing_watch{.known_version = Version()});
  WatchServices();
}

void fleet_directory::OnRegistrarDown() {
  log_.Write(event_id::kLeaseRenewalFailed,
             {{"node", self_.node},
              {"registrar", control_->Registrar().ToString()},
              {"version", Version()}});
}

void fleet_directory::WatchServices() {
  for (const auto& service : services_ | std::views::keys) {
    control_->SendToRegistrar(service_watch{.service = service});
  }
}

void fleet_directory::OnRegistrarMessage(message content) {
  if (const auto* update = std::get_if<routing_update>(&content)) {
    ApplyTable(*update);
  } else if (const auto* members = std::get_if<membership_update>(&content)) {
    ApplyMembers(*members);
  } else if (const auto* list = std::get_if<control_list>(&content)) {
    ApplyControlList(*list);
  }
}

// Returns the updated table; std::nullopt when the update cannot be decoded or
// is based on another version than the current one.
std::optional<routing_table> fleet_directory::ReadTable(
    const routing_update& update) const {
  if (update.base_version == 0) return DecodeRoutingTable(update.table);
  const auto change = DecodeRoutingChange(update.table);
  const bool fits = change && update.base_version == Version();
  if (!fits) return std::nullopt;
  return MergeRoutingChange(table_->Table(), *change);
}

void fleet_directory::ApplyTable(const routing_update& update) {
  if (update.version <= Version()) return;
  auto table = ReadTable(update);
  if (!table) {
    control_->SendToRegistrar(routing_watch{.known_version = Version()});
    return;
  }
  table_ = routing_snapshot::MakeRoutingSnapshot(std::move(*table));
  ++change_count_;
  changed_.notify_all();
  log_.Write(
      event_id::kRoutingInForce,
      {{"version", Version()}, {"routes", table_->Table().routes.size()}});
  for (const auto& service : table_->Table().services | std::views::keys) {
    if (services_.contains(service)) continue;
    services_.try_emplace(service);
    control_->SendToRegistrar(service_watch{.service = service});
  }
  std::erase_if(services_, [this](const auto& entry) {
    return !table_->Table().services.contains(entry.first);
  });
}

void fleet_directory::ApplyMembers(const membership_update& update) {
  const auto found = services_.find(update.service);
  if (found == services_.end()) return;
  std::vector<fleet_member>& members = found->second;
  members_known_ = true;
  std::vector<fleet_member> next;
  for (const upstream_lease& lease : update.active_leases) {
    const auto address = endpoint::Parse(lease.peers_address);
    if (address) next.push_back(MakeMember(lease, *address, members));
  }
  const auto is_replaced = [&](const fleet_member& each) {
    const auto same_node = [&](const fleet_member& other) {
      return other.lease.node == each.lease.node;
    };
    return std::ranges::any_of(next, same_node) ||
           std::ranges::find(update.removed_nodes, each.lease.node) !=
               update.removed_nodes.end();
  };
  // A control VM that has just started does not know all leases yet, so members
  // missing from its update are kept.
  if (!update.complete || !update.settled) {
    std::ranges::copy_if(
        members, std::back_inserter(next),
        [&](const fleet_member& each) { return !is_replaced(each); });
  }
  const auto same_lease = [](const fleet_member& a, const fleet_member& b) {
    return a.lease == b.lease;
  };
  const bool changed = !std::ranges::equal(members, next, same_lease);
  members = std::move(next);
  if (!changed) return;
  ++change_count_;
  changed_.notify_all();
  log_.Write(event_id::kMembershipChanged,
             {{"service", update.service}, {"members", members.size()}});
}

void fleet_directory::ApplyControlList(const control_list& list) {
  std::vector<endpoint> addresses;
  std::vector<endpoint> same_zone;
  for (const control_location& location : list.locations) {
    const auto address = endpoint::Parse(location.address);
    if (!address) continue;
    addresses.push_back(*address);
    if (location.availability_zone == self_.availability_zone) {
      same_zone.push_back(*address);
    }
  }
  const auto change = control_->SetListed(addresses);
  if (!change.IsEmpty()) {
    log_.Write(event_id::kControlListChanged,
               {{"known", control_->ControlCount()},
                {"added", change.added},
                {"forgotten", change.forgotten},
                {"rejected", change.rejected}});
  }
  control_->PreferRegistrars(same_zone);
}

}  // namespace hornbeam
