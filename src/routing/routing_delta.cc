#include "routing/routing_delta.h"

#include <map>
#include <ranges>
#include <string>
#include <vector>

namespace hornbeam {

namespace {

template <class Item>
using named_items = std::map<std::string, Item>;

// Returns the items of `to` that are missing or different in `from`.
template <class Item>
named_items<Item> ChangedItems(const named_items<Item>& from,
                               const named_items<Item>& to) {
  named_items<Item> changed;
  for (const auto& [name, item] : to) {
    const auto before = from.find(name);
    const bool is_same = before != from.end() && before->second == item;
    if (!is_same) changed.emplace(name, item);
  }
  return changed;
}

// Returns the names of the items of `from` that are missing in `to`.
template <class Item>
std::vector<std::string> RemovedItems(const named_items<Item>& from,
                                      const named_items<Item>& to) {
  std::vector<std::string> removed;
  for (const std::string& name : from | std::views::keys) {
    if (!to.contains(name)) removed.push_back(name);
  }
  return removed;
}

}  // namespace

routing_table WithoutSources(routing_table table) {
  for (route& each : table.routes | std::views::values) each.source.clear();
  for (service_definition& each : table.services | std::views::values) {
    each.source.clear();
  }
  table.limits.source.clear();
  table.unrecognised_members.clear();
  return table;
}

routing_change DiffRoutingTables(const routing_table& from,
                                 const routing_table& to) {
  routing_change change{
      .base_version = from.version,
      .version = to.version,
      .routes = ChangedItems(from.routes, to.routes),
      .services = ChangedItems(from.services, to.services),
      .removed_routes = RemovedItems(from.routes, to.routes),
      .removed_services = RemovedItems(from.services, to.services)};
  if (!(from.limits == to.limits)) change.limits = to.limits;
  return change;
}

}  // namespace hornbeam
