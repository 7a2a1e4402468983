#include "filters/failure_response.h"

#include <cassert>
#include <utility>

namespace hornbeam {

namespace {

constexpr unsigned kStatusContentTooLarge = 413;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;
constexpr unsigned kStatusTooManyRequests = 429;

struct failure_text {
  unsigned status;
  std::string_view reason;
};

failure_text FailureText(end_reason reason) {
  switch (reason) {
    case end_reason::kNone:
      return {kStatusBadGateway, "the call ended without an answer"};
    case end_reason::kQueueFull:
      return {kStatusTooManyRequests, "every upstream's queue is full"};
    case end_reason::kCannotMeetDeadline:
      return {kStatusUnavailable, "no upstream can answer before the deadline"};
    case end_reason::kRejectedEarly:
    case end_reason::kTryAnotherNode:
      return {kStatusTooManyRequests, "every upstream is too busy"};
    case end_reason::kDraining:
      return {kStatusUnavailable, "the upstream is draining"};
    case end_reason::kNoUpstream:
      return {kStatusUnavailable, "no upstream could be reached"};
    case end_reason::kUpstreamLost:
      return {kStatusBadGateway,
              "the upstream closed the connection before its answer"};
    case end_reason::kRejectedByUpstream:
      return {kStatusUnavailable, "the upstream refused the call"};
    case end_reason::kWrongIncarnation:
      return {kStatusBadGateway, "the serving node was restarted"};
    case end_reason::kFenced:
      return {kStatusBadGateway, "the call was lost on its way and fenced"};
    case end_reason::kCancelled:
      return {kStatusUnavailable, "the call was cancelled"};
    case end_reason::kDeadlinePassed:
      return {kStatusGatewayTimeout, "the deadline passed"};
    case end_reason::kStillRunning:
      return {kStatusGatewayTimeout, "the call still runs"};
    case end_reason::kForgotten:
      return {kStatusBadGateway, "what became of the call is not known"};
    case end_reason::kTooLarge:
      return {kStatusContentTooLarge, "the body or answer is too large"};
  }
  return {kStatusBadGateway, "the call ended without an answer"};
}

}  // namespace

http_response MakeFailure(unsigned status, outcome call_outcome,
                          std::string reason) {
  assert(call_outcome != outcome::kAnswered);
  http_response response = MakeTextResponse(status, reason + "\n");
  response.headers.push_back(
      {"Hornbeam-Outcome",
       call_outcome == outcome::kNotRun ? "not-run" : "unknown"});
  response.headers.push_back({"Hornbeam-Reason", std::move(reason)});
  return response;
}

http_response MakeFailure(const call_end& end) {
  const failure_text text = FailureText(end.reason);
  return MakeFailure(text.status, end.call_outcome, std::string(text.reason));
}

http_response ToResponse(call_result&& completed) {
  if (completed.end.call_outcome != outcome::kAnswered)
    return MakeFailure(completed.end);
  return http_response{.status = completed.end.status,
                       .headers = std::move(completed.end.headers),
                       .body = std::move(completed.body)};
}

}  // namespace hornbeam
