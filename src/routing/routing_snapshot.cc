#include "routing/routing_snapshot.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hornbeam {

namespace {

std::string NormaliseHost(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::ranges::transform(key, key.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return key;
}

}  // namespace

std::shared_ptr<const routing_snapshot> routing_snapshot::MakeRoutingSnapshot(
    routing_table table) {
  return std::shared_ptr<const routing_snapshot>(
      new routing_snapshot(std::move(table)));
}

routing_snapshot::routing_snapshot(routing_table table)
    : table_(std::move(table)) {
  for (const auto& [name, definition] : table_.routes) {
    by_host_[NormaliseHost(definition.host)].push_back({name, &definition});
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::sort(routes, std::ranges::greater(),
                      [](const named_route& each) {
                        return each.definition->path_prefix.size();
                      });
  }
}

const named_route* routing_snapshot::Match(std::string_view host,
                                           std::string_view target) const {
  const auto routes = by_host_.find(NormaliseHost(host));
  if (routes == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  const auto found =
      std::ranges::find_if(routes->second, [path](const named_route& each) {
        return path.starts_with(each.definition->path_prefix);
      });
  return found == routes->second.end() ? nullptr : &*found;
}

}  // namespace hornbeam
