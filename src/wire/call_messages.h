// Messages for calls that one node dispatches to another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hornbeam/header_field.h"
#include "hornbeam/load_report.h"
#include "hornbeam/outcome.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// Identifies the attempt of a claimed operation that a dispatch executes.
struct claimed_attempt {
  request_id key;            // The caller's idempotency key.
  std::uint32_t number = 0;  // Attempt number from the ledger; starts at 1.
  // The ledger's time of the claim in microseconds since the Unix epoch.
  std::int64_t claimed_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, number, claimed_at_us);
  }
};

// Starts a call. The request body follows in body_chunk messages.
struct call_start {
  request_id id;
  std::string service;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::uint64_t body_size = 0;    // Bytes.
  std::uint64_t deadline_us = 0;  // Time left until the deadline.
  std::uint64_t incarnation = 0;  // Of the addressed serving node.
  // The serving node rejects the call when its expected wait is longer, because
  // the ingress knows another node that is faster; 0 means no limit.
  std::uint64_t wait_limit_us = 0;
  call_class expected = call_class::kShort;
  std::optional<claimed_attempt> attempt;  // Non-idempotent calls only.
  // Calls of a routing table only.
  std::string instance;           // Id of the addressed upstream instance.
  std::string route;              // Name in the routing table.
  std::uint32_t priority = 0;     // 0 is the most urgent.
  std::int64_t objective_us = 0;  // Time left of the latency objective.
  // Percentage of the slack before the objective that the call may spend
  // waiting. A call that would wait longer is rejected, because it misses its
  // objective.
  std::uint32_t wait_percent = 0;
  // No other node would accept the call, so it may wait although it will miss
  // its objective.
  bool no_alternative = false;
  // The caller allows the call to run more than once.
  bool idempotent = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, method, target, headers, body_size, deadline_us,
            incarnation, wait_limit_us, expected, attempt, instance, route,
            priority, objective_us, wait_percent, no_alternative, idempotent);
  }
};

// Part of a request body, or of an answer's body when the serving node sends
// it.
struct body_chunk {
  request_id id;
  std::uint64_t offset = 0;  // Bytes from the start of the body.
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, offset, bytes);
  }
};

// Why a call completed without an answer.
enum class end_reason : std::uint8_t {
  kNone,
  kQueueFull,
  kCannotMeetDeadline,
  kRejectedEarly,  // The wait exceeds the bound in the service's settings.
  // Another node probably answers sooner: the wait exceeds wait_limit_us, the
  // call misses its objective, or the circuit breaker is open.
  kTryAnotherNode,
  kDraining,
  kNoUpstream,
  kUpstreamLost,
  kRejectedByUpstream,
  kWrongIncarnation,
  kFenced,
  kCancelled,
  kDeadlinePassed,
  kTooLarge,
  kStillRunning,  // Reply to a fence: the call is queued or at the upstream.
  kForgotten,     // The serving node has evicted its record of the call.
};

// Completes a call. With kAnswered, the answer's body follows in body_chunk
// messages.
struct call_end {
  request_id id;
  outcome call_outcome = outcome::kUnknown;
  end_reason reason = end_reason::kNone;
  std::uint32_t status = 0;  // HTTP status of the answer.
  std::vector<header_field> headers;
  std::uint64_t body_size = 0;  // Bytes.
  load_report load;
  std::uint64_t service_time_us = 0;  // Time at the upstream.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, call_outcome, reason, status, headers, body_size, load,
            service_time_us);
  }
};

// Cancels a call: the caller disconnected or the call's deadline passed.
struct call_cancel {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Acknowledges that the ingress has the whole answer, so that the serving node
// may discard it.
struct answer_ack {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Queries the status of a call whose connection was lost. The serving node
// sends the answer again if it has one. It fences a call that it has not
// received, so that the call can never run afterwards.
struct call_status_query {
  request_id id;
  std::uint64_t incarnation = 0;  // Of the addressed serving node.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation);
  }
};

// Reports that the call is still queued or running. Its call_end will be sent
// on this connection.
struct call_status_pending {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Asks a serving node to fence one attempt of a claimed operation. The reply is
// a call_end for `id`: kNotRun if the attempt did not run and never will,
// kAnswered with the answer, kUnknown otherwise.
struct attempt_fence {
  request_id id;
  std::string service;
  std::uint64_t incarnation = 0;
  claimed_attempt attempt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, incarnation, attempt);
  }
};

// Asks a serving node for its load. The node replies only while its probe
// budget lasts.
struct load_probe {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Reply to the load_probe with the same id.
struct load_probe_reply {
  request_id id;
  load_report load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, load);
  }
};

}  // namespace hornbeam
