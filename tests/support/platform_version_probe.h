// Checks at nodes that acknowledged versions of the routing table are in force.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace hornbeam {

// Acknowledged versions of a routing table in which each version adds a route
// of its own: a node that does not know that route has an older version.
// Thread-safe.
class version_record {
 public:
  using clock = std::chrono::steady_clock;

  // Versions whose routes a table keeps.
  static constexpr int kKeptVersions = 20;

  // Returns the path prefix of the route that `version` adds.
  static std::string Prefix(int version);
  // Returns the table of `version`, which replaces `base`: routes to `services`
  // services, "/job/" of "s0.example" and so on, and the kept versions' own.
  static std::string Table(int version, int base, std::size_t services);

  void Acknowledge(int version);
  // Returns the newest version that was acknowledged at `time`; 0 if none was.
  [[nodiscard]] int AcknowledgedAt(clock::time_point time) const;
  // Returns when an acknowledged version was.
  [[nodiscard]] clock::time_point TimeOf(int version) const;

 private:
  mutable std::mutex mutex_;
  std::map<int, clock::time_point> acknowledged_;
};

// Returns whether the node at `callers` answers that it has no route of
// `version`. A node without any table, or one that is not reached, does not.
bool LacksVersion(const std::string& callers, int version);

}  // namespace hornbeam
