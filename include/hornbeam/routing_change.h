// A change of the routing table and what became of it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeam/request_id.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Builds `version` on `base_version`: replaces the whole table, or adds,
// replaces and removes named items.
struct routing_change {
  request_id change_id;  // The same for every resend of the same change.
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  bool whole = false;
  std::map<std::string, route> routes;
  std::map<std::string, service_definition> services;
  std::optional<caller_limits> limits;
  std::vector<std::string> removed_routes;
  std::vector<std::string> removed_services;
  std::string unread;  // Of a whole table; see routing_table.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(change_id, base_version, version, whole, routes, services, limits,
            removed_routes, removed_services, unread);
  }
};

enum class routing_verdict : std::uint8_t {
  kAccepted,  // On the disks of a quorum; also for a resend of such a change.
  kStale,     // Another version is in place.
  kInvalid,   // Refused whole; see the faults.
};

struct routing_reply {
  routing_verdict verdict = routing_verdict::kInvalid;
  std::uint64_t current_version = 0;
  std::vector<std::string> faults;  // Every one that was found.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, current_version, faults);
  }
};

}  // namespace hornbeam
