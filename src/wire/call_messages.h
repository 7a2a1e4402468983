// Messages of calls from one node to another.
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

// The attempt of a claimed operation that a dispatch carries.
struct claimed_attempt {
  request_id key;            // The caller's idempotency key.
  std::uint32_t number = 0;  // From 1, as the ledger granted it.
  // The ledger's time of the claim in microseconds since 1970.
  std::int64_t claimed_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, number, claimed_at_us);
  }
};

// Starts a call; its body follows in body_chunk messages.
struct call_start {
  request_id id;
  std::string service;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::uint64_t body_size = 0;    // Bytes.
  std::uint64_t deadline_us = 0;  // What is left of the deadline.
  std::uint64_t incarnation = 0;  // Of the serving node it is meant for.
  // The serving node refuses when its own expected wait is longer, since the
  // ingress knows a better place; 0 for no limit.
  std::uint64_t wait_limit_us = 0;
  call_class expected = call_class::kShort;
  std::optional<claimed_attempt> attempt;  // Non-idempotent calls only.
  // Calls of a routing table only.
  std::string instance;  // The start of the upstream that it is meant for.
  std::string route;     // Name in the routing table.
  std::uint32_t priority = 0;     // 0 is the most urgent.
  std::int64_t objective_us = 0;  // What is left of the latency objective.
  // Share of the wait that the objective leaves, in percent, that the call may
  // use up before it is refused as late.
  std::uint32_t wait_percent = 0;
  // The ingress knows no better place: a call that will be late may wait too.
  bool no_alternative = false;
  // The caller allows that it runs more than once.
  bool idempotent = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, method, target, headers, body_size, deadline_us,
            incarnation, wait_limit_us, expected, attempt, instance, route,
            priority, objective_us, wait_percent, no_alternative, idempotent);
  }
};

// A part of a call's body, or of its answer's body when it comes from the
// serving node.
struct body_chunk {
  request_id id;
  std::uint64_t offset = 0;  // Bytes from the start of the body.
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, offset, bytes);
  }
};

// Why a call ended without an answer.
enum class end_reason : std::uint8_t {
  kNone,
  kQueueFull,
  kCannotMeetDeadline,
  kRefusedEarly,  // The service's settings bound the wait.
  kBetterPlace,   // The wait is above the call's wait_limit_us.
  kDraining,
  kNoUpstream,
  kUpstreamLost,
  kUpstreamRefused,
  kWrongIncarnation,
  kFenced,
  kCancelled,
  kDeadlinePassed,
  kTooLarge,
  kStillRunning,  // Answers a fence: queued or at the upstream.
  kForgotten,     // The serving node's memory no longer reaches back to it.
};

// Ends a call. With kAnswered the answer's body follows in body_chunk messages.
struct call_end {
  request_id id;
  outcome fate = outcome::kUnknown;
  end_reason reason = end_reason::kNone;
  std::uint32_t status = 0;  // HTTP status of an answer.
  std::vector<header_field> headers;
  std::uint64_t body_size = 0;  // Bytes.
  load_report load;
  std::uint64_t service_time_us = 0;  // At the upstream.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, fate, reason, status, headers, body_size, load,
            service_time_us);
  }
};

// The caller went away or its deadline passed.
struct call_cancel {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// The ingress holds the whole answer; the serving node may forget it.
struct answer_ack {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Asks what became of a call whose connection was lost. The serving node sends
// the answer again when it has one; a call it never saw is fenced, so that it
// can never run afterwards.
struct fate_query {
  request_id id;
  std::uint64_t incarnation = 0;  // Of the serving node the call went to.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation);
  }
};

// The call is still queued or running; its end will come on this connection.
struct fate_pending {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

// Asks a serving node to fence one attempt of a claimed operation. Answered by
// a call_end for `id`: kNotRun when it never ran and never will, kAnswered with
// the answer, kUnknown otherwise.
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

// Asks a serving node for its load; answered within the probe budget.
struct load_probe {
  request_id id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

struct load_probe_reply {
  request_id id;
  load_report load;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, load);
  }
};

}  // namespace hornbeam
