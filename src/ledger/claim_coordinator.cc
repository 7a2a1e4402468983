#include "ledger/claim_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "base/answer_rules.h"
#include "base/store_client.h"
#include "hornbeam/random_source.h"
#include "ledger/answer_record.h"
#include "ledger/attempt_dispatcher.h"
#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr std::uint32_t kMaxAttempts = 8;
// Minimum time for a proposal to the ledger, so that an attempt can still be
// resolved shortly after the caller's deadline.
constexpr duration kMinResolveTime = std::chrono::milliseconds(250);
// Age up to which another copy's claim is left alone before its attempt is
// fenced, so that the owner has time to dispatch it.
constexpr duration kFenceDelay = std::chrono::milliseconds(50);
constexpr duration kPollInterval = std::chrono::milliseconds(50);
constexpr duration kRecordTimeout = std::chrono::seconds(10);

using store_reply_result = result<ledger_reply, store_error>;

// Proposes `command` until the ledger replies, and returns the first reply. A
// command whose reply is lost is repeated; its nonce or attempt number makes it
// idempotent. Sets `reply_lost` if the command may have been accepted without a
// reply.
store_reply_result ProposeUntilReply(store_client& store,
                                     const clock_source& clock,
                                     const ledger_command& command,
                                     time_point deadline, bool& reply_lost) {
  const std::string bytes = EncodeLedgerCommand(command);
  while (true) {
    const auto replied = store.Propose(store_id::kLedger, bytes, deadline);
    if (replied.has_value()) {
      auto reply = DecodeLedgerReply(replied.value());
      if (reply) return *std::move(reply);
      reply_lost = true;
      return store_error::kRejected;
    }
    if (replied.error() != store_error::kTimeout) return replied.error();
    reply_lost = true;
    if (clock.Now() >= deadline) return store_error::kTimeout;
  }
}

operation_verdict MakeVerdict(outcome call_outcome, verdict_reason reason) {
  operation_verdict verdict;
  verdict.call_outcome = call_outcome;
  verdict.reason = reason;
  return verdict;
}

// Runs the claim protocol for one copy of a request.
class operation_run {
 public:
  operation_run(store_client& store, const clock_source& clock,
                random_source& random, const operation_request& request,
                attempt_dispatcher& dispatcher)
      : store_(store),
        clock_(clock),
        random_(random),
        request_(request),
        dispatcher_(dispatcher) {}

  operation_verdict Run() {
    step next = Start();
    while (const auto* command = std::get_if<ledger_command>(&next)) {
      reply_lost_ = false;
      const auto reply = ProposeUntilReply(store_, clock_, *command,
                                           ResolveDeadline(), reply_lost_);
      next = reply.has_value() ? HandleReply(reply.value())
                               : HandleNoReply(*command);
    }
    return std::get<operation_verdict>(std::move(next));
  }

 private:
  // The next step: either the final verdict or a command for the ledger.
  using step = std::variant<operation_verdict, ledger_command>;

  step Start() {
    const auto target = dispatcher_.ChooseTarget(tried_);
    if (!target) {
      if (!request_.may_be_resend) return NotRun(verdict_reason::kNoTarget);
      // Another copy may be running, or delayed before its claim; only the
      // ledger can confirm that none of them runs later.
      return ledger_command(abandon_command{
          .operation = request_.operation, .proof = not_run_proof::kNeverSent});
    }
    target_ = *target;
    return ledger_command(claim_command{
        .operation = request_.operation,
        .request_digest = request_.request_digest,
        .nonce = request_id::MakeRandom(random_),
        .target = target_,
        .ingress = request_.ingress,
        .key_window_s = request_.key_window_s,
        .key_skew_ms = request_.key_skew_ms,
        .received_at_us = request_.received_at.time_since_epoch().count()});
  }

  step HandleReply(const ledger_reply& reply) {
    return std::visit([this](const auto& value) { return Handle(value); },
                      reply);
  }

  step Handle(const granted_reply& granted) {
    const attempt_reference attempt{.operation = request_.operation,
                                    .number = granted.attempt,
                                    .claimed_at_us = granted.claimed_at_us};
    if (IsDeadlinePassed()) {
      not_run_reason_ = verdict_reason::kDeadlinePassed;
      return Abandon(attempt, not_run_proof::kNeverSent);
    }
    tried_.push_back(target_);
    const attempt_result reported =
        dispatcher_.Dispatch(target_, attempt, request_.deadline);
    if (reported.status == attempt_status::kUnreachable &&
        !IsDeadlinePassed()) {
      return PollStatus(attempt, target_);
    }
    return Resolve(attempt, target_, reported);
  }

  step Handle(const in_progress_reply& other) {
    const attempt_reference attempt{.operation = request_.operation,
                                    .number = other.attempt,
                                    .claimed_at_us = other.claimed_at_us};
    const wall_time_point claimed_at{duration(other.claimed_at_us)};
    if (clock_.WallNow() - claimed_at < kFenceDelay) {
      dispatcher_.Wait(kFenceDelay);
    }
    return PollStatus(attempt, other.target);
  }

  step Handle(const answered_reply& answered) {
    const recorded_answer& record = answered.answer;
    if (record.body_recorded) {
      if (FindAnswerDefect(record.status, record.headers))
        return Unknown(verdict_reason::kAnswerMalformed);
      operation_verdict verdict =
          MakeVerdict(outcome::kAnswered, verdict_reason::kNone);
      verdict.answer = {.status = record.status,
                        .headers = record.headers,
                        .body = record.body};
      return verdict;
    }
    return FetchFromHolder(answered);
  }

  step Handle(const unresolved_reply& /*unresolved*/) {
    return Unknown(verdict_reason::kUnresolved);
  }

  step Handle(const free_reply& /*freed*/) { return NotRun(not_run_reason_); }

  step Handle(const recorded_reply& /*recorded*/) {
    return Unknown(verdict_reason::kUnresolved);
  }

  step Handle(const rejected_reply& rejected) {
    switch (rejected.reason) {
      case ledger_rejection::kBodyMismatch:
        return NotRun(verdict_reason::kBodyMismatch);
      case ledger_rejection::kKeyExpired:
        return Unknown(verdict_reason::kKeyExpired);
      case ledger_rejection::kKeyFromFuture:
        // An earlier proposal of the claim may still be accepted once the
        // key is no longer from the future.
        if (reply_lost_) return Unknown(verdict_reason::kLedgerReplyLost);
        return NotRun(verdict_reason::kKeyFromFuture);
      case ledger_rejection::kMalformed:
        return NotRun(verdict_reason::kKeyMalformed);
      case ledger_rejection::kAbsent:
        break;
    }
    return Unknown(verdict_reason::kUnresolved);
  }

  // Returns the verdict for a `command` to which the ledger did not reply. It
  // is "not run" only for a first copy whose claim was certainly not accepted.
  step HandleNoReply(const ledger_command& command) {
    if (reply_lost_) return Unknown(verdict_reason::kLedgerReplyLost);
    const bool is_first_claim =
        std::holds_alternative<claim_command>(command) &&
        !request_.may_be_resend;
    if (is_first_claim) return NotRun(verdict_reason::kLedgerUnreachable);
    return Unknown(verdict_reason::kLedgerUnreachable);
  }

  // Queries the node of an attempt until the attempt has a final status or the
  // deadline has passed.
  step PollStatus(const attempt_reference& attempt,
                  const node_identity& target) {
    while (true) {
      attempt_result reported =
          dispatcher_.Fence(target, attempt, request_.deadline);
      const bool pending = reported.status == attempt_status::kRunning ||
                           reported.status == attempt_status::kUnreachable;
      if (!pending || IsDeadlinePassed())
        return Resolve(attempt, target, reported);
      if (reported.status == attempt_status::kUnreachable) {
        if (auto known = QueryLedger(attempt)) return HandleReply(*known);
      }
      dispatcher_.Wait(kPollInterval);
    }
  }

  // Returns the ledger's record of the operation, or std::nullopt if it tells
  // no more than that `attempt` is in progress.
  std::optional<ledger_reply> QueryLedger(const attempt_reference& attempt) {
    const auto replied =
        store_.Query(store_id::kLedger,
                     EncodeLedgerQuery(get_operation_query{request_.operation}),
                     request_.deadline);
    if (!replied.has_value()) return std::nullopt;
    auto reply = DecodeLedgerReply(replied.value());
    if (!reply) return std::nullopt;
    // A read does not stop older copies from claiming the operation, so it is
    // no proof of "not run".
    if (std::holds_alternative<free_reply>(*reply)) return std::nullopt;
    const auto* pending = std::get_if<in_progress_reply>(&*reply);
    if (pending != nullptr && pending->attempt == attempt.number)
      return std::nullopt;
    return reply;
  }

  // Returns the step that follows from the status of an attempt.
  step Resolve(const attempt_reference& attempt, const node_identity& target,
               const attempt_result& reported) {
    switch (reported.status) {
      case attempt_status::kAnswered:
        return MakeAnsweredVerdict(attempt, target, reported.answer);
      case attempt_status::kNotRun:
        return TryNextNode(attempt, reported.proof);
      case attempt_status::kUnknown:
        return ledger_command(
            mark_unknown_command{.operation = request_.operation,
                                 .attempt = attempt.number,
                                 .reason = reported.reason});
      case attempt_status::kRunning:
      case attempt_status::kUnreachable:
        break;
    }
    return Unknown(verdict_reason::kInProgress);
  }

  // The answer is recorded only after the caller has received it, so that the
  // caller does not wait for the ledger.
  step MakeAnsweredVerdict(const attempt_reference& attempt,
                           const node_identity& target,
                           const operation_answer& answer) const {
    operation_verdict verdict =
        MakeVerdict(outcome::kAnswered, verdict_reason::kNone);
    verdict.answer = answer;
    verdict.to_record = complete_command{
        .operation = request_.operation,
        .attempt = attempt.number,
        .answer = MakeRecordedAnswer(answer, target,
                                     request_.answer_record_limit_bytes)};
    return verdict;
  }

  // Claims the next attempt for another node, or frees the operation if no
  // further attempt is possible.
  step TryNextNode(const attempt_reference& attempt, not_run_proof proof) {
    const bool can_retry = !IsDeadlinePassed() && attempt.number < kMaxAttempts;
    const auto target =
        can_retry ? dispatcher_.ChooseTarget(tried_) : std::nullopt;
    if (!target) return Abandon(attempt, proof);
    target_ = *target;
    return ledger_command(
        advance_command{.operation = request_.operation,
                        .attempt = attempt.number,
                        .proof = proof,
                        .nonce = request_id::MakeRandom(random_),
                        .target = target_,
                        .ingress = request_.ingress});
  }

  step Abandon(const attempt_reference& attempt, not_run_proof proof) const {
    return ledger_command(abandon_command{.operation = request_.operation,
                                          .attempt = attempt.number,
                                          .proof = proof});
  }

  // Fetches an answer that was too large for the ledger from the serving node,
  // which may still retain it.
  step FetchFromHolder(const answered_reply& answered) {
    const attempt_reference attempt{.operation = request_.operation,
                                    .number = answered.attempt,
                                    .claimed_at_us = 0};
    attempt_result fetched =
        dispatcher_.Fence(answered.answer.holder, attempt, request_.deadline);
    if (fetched.status != attempt_status::kAnswered) {
      return Unknown(verdict_reason::kAnswerNotRetained);
    }
    operation_verdict verdict =
        MakeVerdict(outcome::kAnswered, verdict_reason::kNone);
    verdict.answer = std::move(fetched.answer);
    return verdict;
  }

  static step NotRun(verdict_reason reason) {
    return MakeVerdict(outcome::kNotRun, reason);
  }

  static step Unknown(verdict_reason reason) {
    return MakeVerdict(outcome::kUnknown, reason);
  }

  [[nodiscard]] bool IsDeadlinePassed() const {
    return clock_.Now() >= request_.deadline;
  }

  [[nodiscard]] time_point ResolveDeadline() const {
    return std::max(request_.deadline, clock_.Now() + kMinResolveTime);
  }

  store_client& store_;
  const clock_source& clock_;
  random_source& random_;
  const operation_request& request_;
  attempt_dispatcher& dispatcher_;
  node_identity target_;
  std::vector<node_identity> tried_;
  bool reply_lost_ = false;  // A reply to the current command was lost.
  // The reason for "not run" once the ledger confirms it by a free_reply.
  verdict_reason not_run_reason_ = verdict_reason::kNoTarget;
};

}  // namespace

claim_coordinator::claim_coordinator(store_client& store,
                                     const clock_source& clock,
                                     random_source& random)
    : store_(store), clock_(clock), random_(random) {}

operation_verdict claim_coordinator::Run(const operation_request& request,
                                         attempt_dispatcher& dispatcher) {
  return operation_run(store_, clock_, random_, request, dispatcher).Run();
}

bool claim_coordinator::Record(const complete_command& command) {
  bool reply_lost = false;
  const auto reply = ProposeUntilReply(
      store_, clock_, command, clock_.Now() + kRecordTimeout, reply_lost);
  return reply.has_value() &&
         (std::holds_alternative<recorded_reply>(reply.value()) ||
          std::holds_alternative<answered_reply>(reply.value()));
}

}  // namespace hornbeam
