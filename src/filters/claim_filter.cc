#include "filters/claim_filter.h"

#include <utility>
#include <vector>

#include "base/event_log.h"
#include "controllers/claimed_call.h"
#include "filters/failure_response.h"
#include "filters/outgoing_request.h"
#include "hornbeam/clock_source.h"
#include "io/fiber_group.h"
#include "ledger/answer_record.h"
#include "ledger/claim_coordinator.h"

namespace hornbeam {

namespace {

// A call with an older key is treated as a possible resend.
constexpr duration kFreshKeyAge = std::chrono::seconds(1);
// A UUIDv7 begins with its creation time: 48 bits of milliseconds since 1970.
constexpr unsigned kKeyTimeShift = 16;

bool IsFresh(const request_id& key, wall_time_point now) {
  const wall_time_point issued(
      std::chrono::milliseconds(key.high >> kKeyTimeShift));
  // The age of a key from the future is unknown.
  return issued <= now && now - issued < kFreshKeyAge;
}

// All calls with the same key must have the same method, target and body.
body_digest DigestRequest(const http_request& request) {
  return DigestBody(request.method + " " + request.target + "\n" +
                    request.body);
}

struct failure_text {
  unsigned status;
  std::string_view reason;
};

failure_text FailureText(verdict_reason reason) {
  switch (reason) {
    case verdict_reason::kNone:
    case verdict_reason::kNoTarget:
      return {503, "no upstream could take the call"};
    case verdict_reason::kDeadlinePassed:
      return {504, "the deadline passed"};
    case verdict_reason::kLedgerUnreachable:
      return {503, "no quorum of the operation ledger could be reached"};
    case verdict_reason::kLedgerReplyLost:
      return {504, "the operation ledger did not reply in time"};
    case verdict_reason::kInProgress:
      return {504, "the operation still runs; send it again for its answer"};
    case verdict_reason::kUnresolved:
      return {502,
              "what became of the operation is not known; an operator "
              "has it listed"};
    case verdict_reason::kAnswerNotRetained:
      return {502, "the operation ran; its answer was too large to be kept"};
    case verdict_reason::kBodyMismatch:
      return {422, "the Idempotency-Key was used with another request"};
    case verdict_reason::kKeyExpired:
      return {422, "the Idempotency-Key is too old"};
    case verdict_reason::kKeyFromFuture:
      return {422, "the Idempotency-Key is from the future"};
    case verdict_reason::kKeyMalformed:
      return {400, "the Idempotency-Key is not a UUIDv7"};
    case verdict_reason::kAnswerMalformed:
      return {502, "the operation ran; its recorded answer is not valid"};
  }
  return {502, "what became of the operation is not known"};
}

http_response ToResponse(operation_verdict&& verdict) {
  if (verdict.call_outcome == outcome::kAnswered) {
    return http_response{.status = verdict.answer.status,
                         .headers = std::move(verdict.answer.headers),
                         .body = std::move(verdict.answer.body)};
  }
  const failure_text text = FailureText(verdict.reason);
  return MakeFailure(text.status, verdict.call_outcome,
                     std::string(text.reason));
}

}  // namespace

claim_filter::claim_filter(const clock_source& clock, event_log& log,
                           call_router& router, claim_coordinator& coordinator,
                           fiber_group& background, std::string ingress)
    : clock_(clock),
      log_(log),
      router_(router),
      coordinator_(coordinator),
      background_(background),
      ingress_(std::move(ingress)) {}

http_response claim_filter::Apply(call_context& call, call_continuation& rest) {
  if (call.idempotent) return rest.Proceed(call);
  const service_policy& policy = call.service->Policy();
  const std::vector<header_field> fields = ForwardedFields(call.request);
  const outgoing_call outgoing = MakeOutgoingCall(call, fields);
  claimed_call claimed(router_, call.service, outgoing);
  const wall_time_point now = clock_.WallNow();
  operation_verdict verdict = coordinator_.Run(
      operation_request{
          .operation = {.service = call.service->Name(), .key = *call.key},
          .request_digest = DigestRequest(call.request),
          .ingress = ingress_,
          .received_at = now,
          .deadline = call.deadline,
          .key_window_s = policy.key_window_s,
          .key_skew_ms = policy.key_skew_ms,
          .answer_record_limit_bytes = policy.answer_record_limit_bytes,
          .may_be_resend = !IsFresh(*call.key, now)},
      claimed);
  log_.Write(event_id::kClaimEnded,
             {{"request", call.id.ToString()},
              {"service", call.service->Name()},
              {"key", call.key->ToString()},
              {"outcome", static_cast<unsigned>(verdict.call_outcome)},
              {"reason", static_cast<unsigned>(verdict.reason)},
              {"dispatches", claimed.Dispatches()}});
  if (verdict.to_record) {
    background_.Start([this, command = *std::move(verdict.to_record)] {
      coordinator_.Record(command);
    });
  }
  return ToResponse(std::move(verdict));
}

}  // namespace hornbeam
