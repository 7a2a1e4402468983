#include "controllers/claimed_call.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "controllers/service_state.h"
#include "io/cancel_source.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

claimed_attempt ToClaimed(const attempt_reference& attempt) {
  return claimed_attempt{.key = attempt.operation.key,
                         .number = attempt.number,
                         .claimed_at_us = attempt.claimed_at_us};
}

not_run_proof ProofOf(const call_result& ended) {
  if (!ended.sent) return not_run_proof::kNeverSent;
  return ended.end.reason == end_reason::kFenced ? not_run_proof::kFenced
                                                 : not_run_proof::kRejected;
}

attempt_result Unknown(unknown_reason reason) {
  return attempt_result{.status = attempt_status::kUnknown, .reason = reason};
}

// Maps the end of a dispatch or fence that gave neither an answer nor a proof
// that the attempt did not run.
attempt_result ToUnknown(end_reason reason) {
  switch (reason) {
    case end_reason::kWrongIncarnation:
      return Unknown(unknown_reason::kNodeRestarted);
    case end_reason::kUpstreamLost:
    case end_reason::kTooLarge:
    case end_reason::kCancelled:
      return Unknown(unknown_reason::kUpstreamLost);
    case end_reason::kForgotten:
      return Unknown(unknown_reason::kRecordEvicted);
    case end_reason::kStillRunning:
    case end_reason::kDeadlinePassed:
      return attempt_result{.status = attempt_status::kRunning};
    default:
      return attempt_result{.status = attempt_status::kUnreachable};
  }
}

attempt_result ToAttemptResult(call_result&& ended) {
  switch (ended.end.call_outcome) {
    case outcome::kAnswered:
      return attempt_result{
          .status = attempt_status::kAnswered,
          .answer = {.status = static_cast<std::uint16_t>(ended.end.status),
                     .headers = std::move(ended.end.headers),
                     .body = std::move(ended.body)}};
    case outcome::kNotRun:
      return attempt_result{.status = attempt_status::kNotRun,
                            .proof = ProofOf(ended)};
    case outcome::kUnknown:
      break;
  }
  return ToUnknown(ended.end.reason);
}

}  // namespace

claimed_call::claimed_call(call_router& router,
                           std::shared_ptr<service_state> service,
                           const outgoing_call& call)
    : router_(router), service_(std::move(service)), call_(call) {}

std::optional<node_identity> claimed_call::ChooseTarget(
    std::span<const node_identity> tried) {
  if (call_.cancel->IsCancelled()) return std::nullopt;
  if (tried.empty()) {
    service_->Retries().RecordCall();
  } else if (service_->Retries().Decide(
                 {.call_outcome = outcome::kNotRun,
                  .attempts = static_cast<std::uint32_t>(tried.size())}) !=
             retry_verdict::kRetry) {
    return std::nullopt;
  }
  std::vector<upstream_id> excluded;
  std::ranges::transform(tried, std::back_inserter(excluded),
                         [](const node_identity& node) {
                           return upstream_id{node.name, node.incarnation};
                         });
  choice_ = router_.Choose(*service_, call_, excluded);
  if (!choice_) return std::nullopt;
  return node_identity{.name = choice_->upstream.node,
                       .incarnation = choice_->upstream.incarnation};
}

attempt_result claimed_call::Dispatch(const node_identity& target,
                                      const attempt_reference& attempt,
                                      time_point deadline) {
  const bool is_chosen = choice_ && choice_->upstream.node == target.name &&
                         choice_->upstream.incarnation == target.incarnation;
  if (!is_chosen) {
    return attempt_result{.status = attempt_status::kNotRun,
                          .proof = not_run_proof::kNeverSent};
  }
  ++dispatches_;
  outgoing_call sent = call_;
  sent.attempt = ToClaimed(attempt);
  sent.deadline = deadline;
  return ToAttemptResult(router_.Dispatch(*service_, sent, *choice_));
}

attempt_result claimed_call::Fence(const node_identity& target,
                                   const attempt_reference& attempt,
                                   time_point deadline) {
  return ToAttemptResult(
      router_.Fence(*service_, upstream_id{target.name, target.incarnation},
                    ToClaimed(attempt), deadline));
}

void claimed_call::Wait(duration length) { io_loop::SleepFor(length); }

}  // namespace hornbeam
