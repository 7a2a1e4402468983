// At-most-once execution of non-idempotent operations, ingress side.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"
#include "ledger/attempt_guard.h"
#include "ledger/ledger_messages.h"

namespace hornbeam {

class attempt_dispatcher;
class random_source;
class store_client;

// One copy of a non-idempotent request, as received by an ingress node.
struct operation_request {
  operation_key operation;
  body_digest request_digest;
  std::string ingress;
  wall_time_point received_at;
  time_point deadline;
  std::uint32_t key_window_s = 0;
  std::uint32_t key_skew_ms = 0;
  std::size_t answer_record_limit_bytes = 0;
  // Whether the caller may have sent the key before. If the ledger does not
  // reply, the outcome of such a copy is "unknown", since another copy may have
  // run.
  bool may_be_resend = false;
};

// Reason for the outcome of a copy.
enum class verdict_reason : std::uint8_t {
  kNone,
  kNoTarget,           // No upstream is left to try, or all rejected it.
  kDeadlinePassed,     // The deadline passed before anything was sent.
  kLedgerUnreachable,  // No quorum of the ledger was reachable.
  kLedgerReplyLost,    // The ledger's reply to a command was lost.
  kInProgress,         // This attempt or another one is still running.
  kUnresolved,         // The status of an attempt can't be established.
  kAnswerNotRetained,  // It ran; its answer was too large for the ledger and is
                       // not available from the serving node.
  kBodyMismatch,       // The key was used with another body before.
  kKeyExpired,         // The key is too old; the operation may have run.
  kKeyFromFuture,
  kKeyMalformed,
  kAnswerMalformed,  // It ran; the recorded answer is not valid HTTP.
};

// Outcome of one copy, with the answer or the reason.
struct operation_verdict {
  outcome call_outcome = outcome::kUnknown;
  verdict_reason reason = verdict_reason::kNone;
  operation_answer answer;  // Set for kAnswered.
  // Set if the answer is not in the ledger yet. The ingress passes it to Record
  // after the caller has received the answer.
  std::optional<complete_command> to_record;
};

// Claims operations in the ledger, dispatches the granted attempts and resolves
// their status. Starts a further attempt only on proof that the previous one
// did not run and never will. models/at_most_once.md describes the races that
// the protocol prevents. Shared by all calls of one thread.
class claim_coordinator {
 public:
  claim_coordinator(store_client& store, const clock_source& clock,
                    random_source& random);

  // Runs the claim protocol for one copy and returns its verdict. Blocks the
  // calling fiber until shortly after the request's deadline at most.
  operation_verdict Run(const operation_request& request,
                        attempt_dispatcher& dispatcher);

  // Records an answer in the ledger. Returns false if no reply arrived in time;
  // the serving node then still retains the answer, and the operation is listed
  // as unresolved until the answer is recorded.
  bool Record(const complete_command& command);

 private:
  store_client& store_;
  const clock_source& clock_;
  random_source& random_;
};

}  // namespace hornbeam
