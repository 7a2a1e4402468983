// Immutable routing table of one node with an index for matching requests.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hornbeam/routing_table.h"

namespace hornbeam {

struct named_route {
  std::string name;
  const route* definition = nullptr;
};

// Shared by the requests of a node: a request keeps the version under which it
// started.
class routing_snapshot {
 public:
  static std::shared_ptr<const routing_snapshot> MakeRoutingSnapshot(
      routing_table table);
  routing_snapshot(const routing_snapshot&) = delete;
  routing_snapshot& operator=(const routing_snapshot&) = delete;

  // Returns the route of the host whose path prefix is the longest that matches
  // `target`; null when none matches. The port and the case of the host are
  // ignored.
  [[nodiscard]] const named_route* Match(std::string_view host,
                                         std::string_view target) const;

  [[nodiscard]] const routing_table& Table() const { return table_; }

 private:
  explicit routing_snapshot(routing_table table);

  const routing_table table_;
  // Routes by normalised host, the longest prefix first.
  std::unordered_map<std::string, std::vector<named_route>> by_host_;
};

}  // namespace hornbeam
