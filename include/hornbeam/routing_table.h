// Routing table: which service answers which requests, as set by operators.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeam {

// A service that receives a share of a route's calls.
struct weighted_service {
  std::string service;
  double weight = 1;  // Relative to the other services of the route.

  bool operator==(const weighted_service&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

// Settings of the requests for one host below one path prefix.
struct route {
  std::string host;                // Lower case, without a port.
  std::string path_prefix;         // Begins and ends with a slash.
  bool idempotent = false;         // A request may run more than once.
  std::uint64_t timeout_us = 0;    // Maximum time that a caller waits.
  std::uint64_t objective_us = 0;  // An answer within it has full value.
  std::uint32_t priority = 0;      // 0 is the most urgent.
  std::uint32_t max_attempts = 1;  // Upstreams tried for one request.
  std::vector<weighted_service> parts;
  // The operator's original text, returned unchanged by a read.
  std::string source;

  bool operator==(const route&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, path_prefix, idempotent, timeout_us, objective_us, priority,
            max_attempts, parts, source);
  }
};

struct service_definition {
  std::string health_path;
  std::uint32_t connection_limit = 0;  // Of one upstream; 0 if not set.
  std::string source;

  bool operator==(const service_definition&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(health_path, connection_limit, source);
  }
};

// Limits on the size and the duration of callers' requests; 0 if not set.
struct caller_limits {
  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  std::uint64_t header_timeout_us = 0;
  std::uint64_t idle_timeout_us = 0;
  std::string source;

  bool operator==(const caller_limits&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(header_bytes, body_bytes, header_timeout_us, idle_timeout_us,
            source);
  }
};

// One version of the complete routing table. Items are keyed by name. Value
// type; nodes share it as an immutable routing_snapshot.
struct routing_table {
  std::uint64_t version = 0;  // 0 until a table is accepted.
  std::map<std::string, route> routes;
  std::map<std::string, service_definition> services;
  caller_limits limits;
  // Members of the operator's document that the load balancer does not
  // interpret, as one JSON text.
  std::string unrecognised_members;

  bool operator==(const routing_table&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, unrecognised_members);
  }
};

}  // namespace hornbeam
