#include "routing/routing_rules.h"

#include <fmt/format.h>

#include <cmath>
#include <utility>

namespace hornbeam {

namespace {

// An objective that exceeds the timeout by this much is taken for a mistake in
// the units.
constexpr std::uint64_t kObjectiveExcessUs = 60'000'000;

void CheckParts(const std::string& name, const route& checked,
                const routing_table& table, std::vector<std::string>& faults) {
  double total = 0;
  for (const weighted_service& part : checked.parts) {
    if (!table.services.contains(part.service)) {
      faults.push_back(fmt::format("route {}: service {} is not defined", name,
                                   part.service));
    }
    if (!(part.weight >= 0) || !std::isfinite(part.weight)) {
      faults.push_back(
          fmt::format("route {}: the weight of {} is negative or not finite",
                      name, part.service));
    }
    total += part.weight;
  }
  if (!(total > 0)) {
    faults.push_back(
        fmt::format("route {}: no service has a weight above 0", name));
  }
}

void CheckRoute(const std::string& name, const route& checked,
                const routing_table& table, std::vector<std::string>& faults) {
  CheckParts(name, checked, table, faults);
  const bool is_slashed = !checked.path_prefix.empty() &&
                          checked.path_prefix.front() == '/' &&
                          checked.path_prefix.back() == '/';
  if (!is_slashed) {
    faults.push_back(fmt::format(
        "route {}: the path prefix does not begin and end with a slash", name));
  }
  if (checked.most_attempts == 0) {
    faults.push_back(
        fmt::format("route {}: the maximum number of attempts is 0", name));
  }
  if (checked.timeout_us == 0) {
    faults.push_back(fmt::format("route {}: the timeout is 0", name));
  }
  if (checked.objective_us >= checked.timeout_us + kObjectiveExcessUs) {
    faults.push_back(fmt::format(
        "route {}: the objective exceeds the timeout by a minute or more",
        name));
  }
}

}  // namespace

std::vector<std::string> FindRoutingFaults(const routing_table& table) {
  std::vector<std::string> faults;
  for (const auto& [name, checked] : table.routes) {
    CheckRoute(name, checked, table, faults);
  }
  return faults;
}

routing_table MergeRoutingChange(routing_table table,
                                 const routing_change& change) {
  routing_table next;
  if (!change.whole) next = std::move(table);
  if (change.whole) next.unread = change.unread;
  next.version = change.version;
  for (const std::string& name : change.removed_routes) next.routes.erase(name);
  for (const std::string& name : change.removed_services) {
    next.services.erase(name);
  }
  for (const auto& [name, item] : change.routes) next.routes[name] = item;
  for (const auto& [name, item] : change.services) next.services[name] = item;
  if (change.limits) next.limits = *change.limits;
  return next;
}

result<routing_table, std::vector<std::string>> ApplyRoutingChange(
    const routing_table& table, const routing_change& change) {
  routing_table next = MergeRoutingChange(table, change);
  auto faults = FindRoutingFaults(next);
  if (!faults.empty()) return faults;
  return next;
}

}  // namespace hornbeam
