// Snapshot of the operation ledger's state, and its encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/ledger_messages.h"

namespace hornbeam {

// State of an operation without a recorded answer: an attempt is claimed, the
// status of the last attempt is unknown, or no attempt has run.
enum class live_state : std::uint8_t { kClaimed, kUnknown, kFree };

// An operation without a recorded answer.
struct live_operation {
  request_id key;
  body_digest request_digest;
  live_state state = live_state::kClaimed;
  std::uint32_t attempt = 0;
  request_id nonce;
  node_identity target;
  std::string ingress;
  std::int64_t claimed_at_us = 0;
  // Time of the last free_reply to a command, by the ledger's clock.
  std::int64_t freed_at_us = 0;
  unknown_reason reason = unknown_reason::kNodeRestarted;
  bool has_digest = true;  // False if abandoned before any claim.
  bool acknowledged = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, request_digest, state, attempt, nonce, target, ingress,
            claimed_at_us, freed_at_us, reason, has_digest, acknowledged);
  }
};

// One operation with a recorded answer. `answer` is an encoded recorded_answer.
struct answered_operation_image {
  request_id key;
  body_digest request_digest;
  std::uint32_t attempt = 0;
  std::string answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, request_digest, attempt, answer);
  }
};

struct service_image {
  std::string service;
  // Keys issued up to this time are expired; milliseconds since 1970.
  std::int64_t expired_up_to_ms = 0;
  std::vector<live_operation> live;
  std::vector<answered_operation_image> answered;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, expired_up_to_ms, live, answered);
  }
};

struct ledger_image {
  std::uint32_t version = 1;  // Of the snapshot format.
  std::int64_t now_us = 0;    // The ledger's clock, microseconds since 1970.
  std::vector<service_image> services;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, now_us, services);
  }
};

std::string EncodeLedgerImage(const ledger_image& image);
// Returns std::nullopt for bytes that do not hold a valid image of the current
// version.
std::optional<ledger_image> DecodeLedgerImage(std::string_view bytes);

}  // namespace hornbeam
