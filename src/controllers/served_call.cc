#include "controllers/served_call.h"

#include <utility>

#include "base/event_log.h"

namespace hornbeam {

namespace {

constexpr unsigned kStatusUnavailable = 503;

bool IsNotRunRejection(const http_response& answer) {
  return answer.status == kStatusUnavailable &&
         answer.Header("Hornbeam-Outcome") == "not-run";
}

}  // namespace

end_reason ToEndReason(rejection_reason reason) {
  switch (reason) {
    case rejection_reason::kNone:
      return end_reason::kNone;
    case rejection_reason::kDraining:
      return end_reason::kDraining;
    case rejection_reason::kQueueFull:
      return end_reason::kQueueFull;
    case rejection_reason::kDeadline:
      return end_reason::kCannotMeetDeadline;
    case rejection_reason::kEarly:
      return end_reason::kRejectedEarly;
    case rejection_reason::kTryAnotherNode:
      return end_reason::kTryAnotherNode;
    case rejection_reason::kDuplicate:
      return end_reason::kFenced;
  }
  return end_reason::kQueueFull;
}

served_call MakeServedCall(outcome call_outcome, end_reason reason) {
  return served_call{
      .end = call_end{.call_outcome = call_outcome, .reason = reason}};
}

served_call ToServedCall(http_call_error error) {
  switch (error) {
    case http_call_error::kNotSent:
      return MakeServedCall(outcome::kNotRun, end_reason::kNoUpstream);
    case http_call_error::kTimeout:
      return MakeServedCall(outcome::kUnknown, end_reason::kDeadlinePassed);
    case http_call_error::kCancelled:
      return MakeServedCall(outcome::kUnknown, end_reason::kCancelled);
    case http_call_error::kTooLarge:
      return MakeServedCall(outcome::kUnknown, end_reason::kTooLarge);
    case http_call_error::kLost:
    case http_call_error::kMalformed:
      break;
  }
  return MakeServedCall(outcome::kUnknown, end_reason::kUpstreamLost);
}

void LogMalformedAnswer(event_log& log, http_call_error error,
                        const request_id& call, const std::string& upstream) {
  if (error != http_call_error::kMalformed) return;
  log.Write(event_id::kAnswerMalformed, {{"request", call.ToString()},
                                         {"source", "upstream"},
                                         {"from", upstream},
                                         {"outcome", "unknown"}});
}

served_call ToServedCall(http_response&& answer) {
  if (IsNotRunRejection(answer)) {
    return MakeServedCall(outcome::kNotRun, end_reason::kRejectedByUpstream);
  }
  served_call served = MakeServedCall(outcome::kAnswered, end_reason::kNone);
  served.end.status = answer.status;
  served.end.headers = std::move(answer.headers);
  served.body = std::move(answer.body);
  return served;
}

}  // namespace hornbeam
