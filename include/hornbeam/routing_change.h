// A change of the routing table and the reply to it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hornbeam/request_id.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Creates `version` from `base_version`: replaces the complete table, or adds,
// replaces and removes named items.
struct routing_change {
  request_id change_id;  // Identical in every resend of a change.
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  bool full_table = false;  // Replaces the complete table.
  std::map<std::string, route> routes;
  std::map<std::string, service_definition> services;
  std::optional<caller_limits> limits;
  std::vector<std::string> removed_routes;
  std::vector<std::string> removed_services;
  // Set only with a full table; see routing_table.
  std::string unrecognised_members;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(change_id, base_version, version, full_table, routes, services,
            limits, removed_routes, removed_services, unrecognised_members);
  }
};

enum class routing_verdict : std::uint8_t {
  kAccepted,  // Durable on a quorum; also for a resend of the change.
  kStale,     // `base_version` is not the current version.
  kInvalid,   // Rejected as a whole; see the errors.
};

struct routing_reply {
  routing_verdict verdict = routing_verdict::kInvalid;
  std::uint64_t current_version = 0;
  std::vector<std::string> errors;  // All errors that were found.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, current_version, errors);
  }
};

}  // namespace hornbeam
