#include "routing/routing_rules.h"

#include <fmt/format.h>

#include <cmath>
#include <utility>

namespace hornbeam {

namespace {

// An objective that exceeds the timeout by this much is taken for a mistake in
// the units.
constexpr std::uint64_t kObjectiveExcessUs = 60'000'000;

void CheckWeights(const std::string& name, const route& checked,
                  const routing_table& table,
                  std::vector<std::string>& errors) {
  double total = 0;
  for (const weighted_service& part : checked.parts) {
    if (!table.services.contains(part.service)) {
      errors.push_back(fmt::format("route {}: service {} is not defined", name,
                                   part.service));
    }
    if (!(part.weight >= 0) || !std::isfinite(part.weight)) {
      errors.push_back(fmt::format("route {}: the weight of {} is below 0",
                                   name, part.service));
    }
    total += part.weight;
  }
  if (!(total > 0)) {
    errors.push_back(fmt::format("route {}: no part has a weight", name));
  }
}

void CheckRoute(const std::string& name, const route& checked,
                const routing_table& table, std::vector<std::string>& errors) {
  CheckWeights(name, checked, table, errors);
  const bool has_outer_slashes = !checked.path_prefix.empty() &&
                                 checked.path_prefix.front() == '/' &&
                                 checked.path_prefix.back() == '/';
  if (!has_outer_slashes) {
    errors.push_back(fmt::format(
        "route {}: the prefix does not begin and end with a slash", name));
  }
  if (checked.max_attempts == 0) {
    errors.push_back(fmt::format("route {}: no attempts are allowed", name));
  }
  if (checked.timeout_us == 0) {
    errors.push_back(fmt::format("route {}: the timeout is 0", name));
  }
  if (checked.objective_us >= checked.timeout_us + kObjectiveExcessUs) {
    errors.push_back(fmt::format(
        "route {}: the objective is a minute or more above the timeout", name));
  }
}

}  // namespace

std::vector<std::string> FindRoutingErrors(const routing_table& table) {
  std::vector<std::string> errors;
  for (const auto& [name, checked] : table.routes) {
    CheckRoute(name, checked, table, errors);
  }
  return errors;
}

routing_table MergeRoutingChange(routing_table table,
                                 const routing_change& change) {
  routing_table next;
  if (!change.full_table) next = std::move(table);
  if (change.full_table)
    next.unrecognised_members = change.unrecognised_members;
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
  auto errors = FindRoutingErrors(next);
  if (!errors.empty()) return errors;
  return next;
}

}  // namespace hornbeam
