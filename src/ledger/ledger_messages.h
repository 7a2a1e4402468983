// Commands, queries and replies of the operation ledger.
//
// The ledger holds one record for each operation (service and idempotency
// key). At most one attempt of an operation is live at a time, and each attempt
// is bound to the one incarnation of the one node that may run it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hornbeam/header_field.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// The XXH3 128-bit hash of a body.
struct body_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const body_digest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

// Identifies one non-idempotent operation. All copies of the request that a
// caller sends have the same key.
struct operation_key {
  std::string service;
  request_id key;  // The caller's UUIDv7.

  auto operator<=>(const operation_key&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, key);
  }
};

// One incarnation of the serving node of an upstream.
struct node_identity {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const node_identity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

// The upstream's answer as the ledger stores it. If the answer exceeds the
// service's answer_record_limit_bytes, `body_recorded` is false, `headers` and
// `body` are empty, and `holder` may still have the complete answer.
struct recorded_answer {
  std::uint16_t status = 0;
  bool body_recorded = true;
  std::uint64_t body_size = 0;
  body_digest digest;  // Of the body.
  node_identity holder;
  std::vector<header_field> headers;
  std::string body;

  bool operator==(const recorded_answer&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, body_recorded, body_size, digest, holder, headers, body);
  }
};

// Proof that an attempt did not run and never will.
enum class not_run_proof : std::uint8_t {
  kNeverSent,  // The owner of the attempt did not dispatch it and never will.
  kRejected,   // The serving node rejected it.
  kFenced,     // The serving node had not received it and has fenced it.
};

// Reason why the status of an attempt cannot be established.
enum class unknown_reason : std::uint8_t {
  kNodeRestarted,  // The incarnation that it was claimed for has terminated.
  kUpstreamLost,   // The upstream's connection broke after the dispatch.
  kRecordEvicted,  // The node may have evicted its record of the attempt.
};

// ---- Commands ----

// Claims the right to dispatch an attempt. Repeating the command with the same
// nonce grants the same attempt again.
struct claim_command {
  operation_key operation;
  body_digest request_digest;
  request_id nonce;  // Random; unique for each copy of the request.
  node_identity target;
  std::string ingress;
  std::uint32_t key_window_s = 0;
  std::uint32_t key_skew_ms = 0;
  // Wall clock time at which the ingress received this copy, in microseconds
  // since 1970. An operation that was freed grants claims only to copies
  // received later: an older copy would run it after "not run" was reported for
  // a newer one.
  std::int64_t received_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, request_digest, nonce, target, ingress, key_window_s,
            key_skew_ms, received_at_us);
  }
};

// Replaces an attempt that provably does not run by the next one.
struct advance_command {
  operation_key operation;
  std::uint32_t attempt = 0;  // The attempt that does not run.
  not_run_proof proof = not_run_proof::kRejected;
  request_id nonce;  // Of the new attempt; unique for each advance.
  node_identity target;
  std::string ingress;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, attempt, proof, nonce, target, ingress);
  }
};

// Terminates an attempt that provably does not run, without a next one. Only a
// copy received after the free_reply may claim the operation again. Attempt 0
// is used by an ingress that rejects a copy before any claim: if the operation
// has no record, one is created, so that no older copy runs after "not run" was
// reported for this one.
struct abandon_command {
  operation_key operation;
  std::uint32_t attempt = 0;
  not_run_proof proof = not_run_proof::kRejected;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, attempt, proof);
  }
};

// Records the answer of an attempt. Any process that holds the answer may send
// it.
struct complete_command {
  operation_key operation;
  std::uint32_t attempt = 0;
  recorded_answer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, attempt, answer);
  }
};

// Records that the status of an attempt cannot be established. The operation is
// not dispatched again, but an answer that arrives later may complete it.
struct mark_unknown_command {
  operation_key operation;
  std::uint32_t attempt = 0;
  unknown_reason reason = unknown_reason::kNodeRestarted;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, attempt, reason);
  }
};

// Removes an unresolved operation from the list after an operator has dealt
// with it. No further attempt is granted for its key.
struct acknowledge_command {
  operation_key operation;
  std::string note;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, note);
  }
};

using ledger_command =
    std::variant<claim_command, advance_command, abandon_command,
                 complete_command, mark_unknown_command, acknowledge_command>;

// ---- Replies to commands and to get_operation_query ----

// The proposer, and no other process, may dispatch this attempt, once.
struct granted_reply {
  std::uint32_t attempt = 0;
  // Time of the claim by the ledger's clock, in microseconds since 1970. It is
  // sent with the dispatch, because the serving node evicts its records in the
  // order of this time.
  std::int64_t claimed_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, claimed_at_us);
  }
};

struct answered_reply {
  std::uint32_t attempt = 0;
  recorded_answer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, answer);
  }
};

// Another copy holds the live attempt.
struct in_progress_reply {
  std::uint32_t attempt = 0;
  node_identity target;
  std::string ingress;
  std::int64_t claimed_at_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, target, ingress, claimed_at_us);
  }
};

// The status of the attempt cannot be established.
struct unresolved_reply {
  std::uint32_t attempt = 0;
  node_identity target;
  unknown_reason reason = unknown_reason::kNodeRestarted;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt, target, reason);
  }
};

// No attempt is live and none has run. `attempt` is the last one, or 0 if there
// was none. As the reply to a command it proves "not run".
struct free_reply {
  std::uint32_t attempt = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(attempt);
  }
};

// Confirms a complete, mark_unknown or acknowledge command.
struct recorded_reply {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

// Reason why the ledger rejected a command or query.
enum class ledger_rejection : std::uint8_t {
  kBodyMismatch,   // The first claim of the key had another body.
  kKeyExpired,     // The key is too old; the operation may have run.
  kKeyFromFuture,  // The key is from the future; the operation has not run.
  kAbsent,         // The ledger has no record of the operation.
  kMalformed,      // The command or its key can't be decoded.
};

struct rejected_reply {
  ledger_rejection reason = ledger_rejection::kMalformed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(reason);
  }
};

using ledger_reply =
    std::variant<granted_reply, answered_reply, in_progress_reply,
                 unresolved_reply, free_reply, recorded_reply, rejected_reply>;

// ---- Queries ----

// Queries one operation. The reply is a ledger_reply.
struct get_operation_query {
  operation_key operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation);
  }
};

// Queries the operations that are claimed or unknown, not acknowledged, and
// were claimed at least `min_age_ms` before the ledger's last entry. The reply
// is an unresolved_page of at most `limit` operations, ordered by key and
// starting after `after`.
struct list_unresolved_query {
  std::optional<operation_key> after;
  std::uint32_t limit = 0;
  std::uint32_t min_age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(after, limit, min_age_ms);
  }
};

using ledger_query = std::variant<get_operation_query, list_unresolved_query>;

struct unresolved_operation {
  operation_key operation;
  std::uint32_t attempt = 0;
  node_identity target;
  std::string ingress;
  std::int64_t claimed_at_us = 0;
  std::optional<unknown_reason> reason;  // std::nullopt if still claimed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operation, attempt, target, ingress, claimed_at_us, reason);
  }
};

struct unresolved_page {
  std::vector<unresolved_operation> operations;
  bool more = false;  // Whether operations follow after this page.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(operations, more);
  }
};

}  // namespace hornbeam
