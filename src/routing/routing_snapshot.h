// The routing table in force at one node.
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

// Immutable; requests that began under one version end under it.
class routing_snapshot {
 public:
  static std::shared_ptr<const routing_snapshot> MakeRoutingSnapshot(
      routing_table table);
  routing_snapshot(const routing_snapshot&) = delete;
  routing_snapshot& operator=(const routing_snapshot&) = delete;

  // The route of that host with the longest prefix of `target`; null when there
  // is none. A port behind the host does not matter, nor does its case.
  [[nodiscard]] const named_route* Match(std::string_view host,
                                         std::string_view target) const;

  [[nodiscard]] const routing_table& Table() const { return table_; }

 private:
  explicit routing_snapshot(routing_table table);

  const routing_table table_;
  // Of each host, the longest prefix first.
  std::unordered_map<std::string, std::vector<named_route>> by_host_;
};

}  // namespace hornbeam
