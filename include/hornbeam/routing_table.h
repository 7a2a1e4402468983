// Which service answers which requests, as operators wrote it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeam {

// One part of a route's calls.
struct weighted_service {
  std::string service;
  double weight = 1;  // Relative to the route's other parts.

  bool operator==(const weighted_service&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

// Requests of one host below one path.
struct route {
  std::string host;              // Lower case, without a port.
  std::string path_prefix;       // Begins and ends with a slash.
  bool idempotent = false;       // A request may run more than once.
  std::uint64_t timeout_us = 0;  // Longest time that a caller is kept waiting.
  std::uint64_t objective_us = 0;  // An answer within it has its full value.
  std::uint32_t priority = 0;      // 0 is the most urgent.
  std::uint32_t max_attempts = 1;  // Upstreams that one request may reach.
  std::vector<weighted_service> parts;
  // The operator's own text, given back unchanged on a read.
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
  std::uint32_t connection_limit = 0;  // Of one upstream; 0 for none stated.
  std::string source;

  bool operator==(const service_definition&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(health_path, connection_limit, source);
  }
};

// What a caller may send and how long it may take. 0: not stated.
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

// One version of the whole. Items are keyed by name. Value type; nodes share it
// as an immutable routing_snapshot.
struct routing_table {
  std::uint64_t version = 0;  // 0: nothing was accepted yet.
  std::map<std::string, route> routes;
  std::map<std::string, service_definition> services;
  caller_limits limits;
  // Members of the operator's document that mean nothing here, as one text.
  std::string unread;

  bool operator==(const routing_table&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, unread);
  }
};

}  // namespace hornbeam
