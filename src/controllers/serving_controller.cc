#include "controllers/serving_controller.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <utility>

#include "base/event_log.h"
#include "controllers/served_call.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

constexpr duration kExpiryInterval = std::chrono::milliseconds(5);
// The queue rejects an overdue call itself; this covers a late expiry pass.
constexpr duration kQueueGrace = std::chrono::seconds(1);
constexpr duration kCancelCallTimeout = std::chrono::milliseconds(1000);
constexpr duration kClaimedAnswerGrace = std::chrono::seconds(30);
constexpr std::int64_t kProbeReplyBytes = 96;

attempt_reference MakeReference(const std::string& service,
                                const claimed_attempt& attempt) {
  return attempt_reference{
      .operation = operation_key{.service = service, .key = attempt.key},
      .number = attempt.number,
      .claimed_at_us = attempt.claimed_at_us};
}

http_request ToUpstreamRequest(const inbound_call& call, duration left) {
  http_request request{.method = call.start.method,
                       .target = call.start.target,
                       .headers = call.start.headers,
                       .body = call.body};
  const auto left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(left);
  request.headers.push_back({"Hornbeam-Request-Id", call.start.id.ToString()});
  request.headers.push_back(
      {"Hornbeam-Deadline-Ms", std::to_string(left_ms.count())});
  return request;
}

}  // namespace

serving_controller::serving_controller(io_loop& loop, const clock_source& clock,
                                       event_log& log,
                                       const process_identity& self,
                                       const serving_options& options)
    : loop_(loop),
      clock_(clock),
      log_(log),
      self_(self),
      options_(options),
      probes_(clock, options.probes),
      attempts_(clock, self.incarnation, options.attempts) {}

serving_controller::~serving_controller() = default;

void serving_controller::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  fibers.Start([this] { ExpiryLoop(); });
}

void serving_controller::Stop() {
  stopped_ = true;
  queue_grew_.notify_all();
}

bool serving_controller::Announce(const upstream_announcement& announcement) {
  announced_at_ = clock_.Now();
  if (announced_upstream_ && announced_upstream_->announcement == announcement)
    return false;
  upstream_announcement with_current_drain = announcement;
  with_current_drain.draining =
      announced_upstream_ ? announced_upstream_->announcement.draining : false;
  const bool only_drain_changed =
      announced_upstream_ && announcement.draining &&
      announced_upstream_->announcement == with_current_drain;
  if (only_drain_changed) {
    announced_upstream_->announcement.draining = true;
    announced_upstream_->queue.BeginDrain();
    queue_grew_.notify_all();
  } else {
    Retire();
    announced_upstream_ = std::make_shared<announced_upstream>(
        announcement,
        http_client::MakeHttpClient(loop_, announcement.address.host,
                                    announcement.address.port,
                                    options_.answer_limit_bytes, clock_),
        clock_, options_.admission);
    announced_upstream_->limit.SetAnnounced(announcement.slots);
    announced_upstream_->queue.SetSlots(announcement.slots);
    announced_upstream_->queue.BeginSlowStart();
    if (announcement.draining || draining_)
      announced_upstream_->queue.BeginDrain();
  }
  log_.Write(event_id::kUpstreamAnnounced,
             {{"service", announcement.service},
              {"address", announcement.address.ToString()},
              {"slots", announcement.slots},
              {"draining", announcement.draining}});
  return true;
}

bool serving_controller::Withdraw() {
  if (!announced_upstream_) return false;
  Retire();
  return true;
}

void serving_controller::Retire() {
  if (!announced_upstream_) return;
  announced_upstream_->queue.BeginDrain();
  retired_.push_back(std::move(announced_upstream_));
  announced_upstream_ = nullptr;
}

bool serving_controller::ExpireAnnouncement() {
  const bool expired = announced_upstream_ && clock_.Now() - announced_at_ >=
                                                  options_.announcement_timeout;
  return expired && Withdraw();
}

void serving_controller::BeginDrain() {
  draining_ = true;
  if (announced_upstream_) announced_upstream_->queue.BeginDrain();
  queue_grew_.notify_all();
}

void serving_controller::SetAdmission(const admission_options& options) {
  options_.admission = options;
  if (announced_upstream_) announced_upstream_->queue.SetOptions(options);
}

served_call serving_controller::Serve(inbound_call& call) {
  ++running_;
  served_call served =
      call.start.attempt ? ServeAttempt(call) : ServeAdmitted(call);
  --running_;
  served.end.load = Report();
  if (served.end.call_outcome == outcome::kNotRun) {
    log_.Write(event_id::kCallRejected,
               {{"request", call.start.id.ToString()},
                {"service", call.start.service},
                {"reason", static_cast<unsigned>(served.end.reason)}});
  }
  return served;
}

served_call serving_controller::ServeAdmitted(inbound_call& call) {
  const auto announced = announced_upstream_;
  if (!announced || announced->announcement.service != call.start.service) {
    return MakeServedCall(outcome::kNotRun, end_reason::kNoUpstream);
  }
  const rejection_reason rejection = Admit(announced, call);
  if (rejection == rejection_reason::kNone)
    return RunUnlessCancelled(*announced, call);
  return MakeServedCall(outcome::kNotRun, call.cancel.IsCancelled()
                                              ? end_reason::kCancelled
                                              : ToEndReason(rejection));
}

// Runs a claimed attempt at most once and records its status.
served_call serving_controller::ServeAttempt(inbound_call& call) {
  const attempt_reference attempt =
      MakeReference(call.start.service, *call.start.attempt);
  switch (attempts_.Begin(attempt, call.start.incarnation)) {
    case dispatch_verdict::kRun:
      break;
    case dispatch_verdict::kWrongIncarnation:
      return MakeServedCall(outcome::kNotRun, end_reason::kWrongIncarnation);
    case dispatch_verdict::kFenced:
      return MakeServedCall(outcome::kNotRun, end_reason::kFenced);
    case dispatch_verdict::kDuplicate:
      return MakeServedCall(outcome::kUnknown, end_reason::kStillRunning);
    case dispatch_verdict::kForgotten:
      return MakeServedCall(outcome::kUnknown, end_reason::kForgotten);
  }
  served_call served = ServeAdmitted(call);
  switch (served.end.call_outcome) {
    case outcome::kAnswered:
      attempts_.Finish(
          attempt, operation_answer{
                       .status = static_cast<std::uint16_t>(served.end.status),
                       .headers = served.end.headers,
                       .body = served.body});
      break;
    case outcome::kNotRun:
      attempts_.Reject(attempt);
      break;
    case outcome::kUnknown:
      attempts_.MarkLost(attempt);
      break;
  }
  return served;
}

rejection_reason serving_controller::Admit(
    const std::shared_ptr<announced_upstream>& announced, inbound_call& call) {
  if (IsDraining()) return rejection_reason::kDraining;
  const std::uint64_t limit_us = call.start.wait_limit_us;
  const admission_decision decision = announced->queue.Offer(
      {.id = call.start.id,
       .kind = call.start.expected,
       .deadline = call.deadline,
       .wait_limit = limit_us == 0 ? duration::max()
                                   : std::chrono::microseconds(limit_us)});
  switch (decision.verdict) {
    case admission_verdict::kAdmitted:
      return rejection_reason::kNone;
    case admission_verdict::kRejected:
      return decision.reason;
    case admission_verdict::kQueued:
      return WaitQueued(*announced, call);
  }
  return rejection_reason::kQueueFull;
}

rejection_reason serving_controller::WaitQueued(announced_upstream& announced,
                                                inbound_call& call) {
  admission_signal admitted;
  waiting_.emplace(call.start.id, &admitted);
  queue_grew_.notify_all();
  const cancel_registration registration(call.cancel, [&] {
    const bool dropped =
        announced.queue.Cancel(call.start.id) == cancel_verdict::kDropped;
    if (dropped) admitted.Set(rejection_reason::kDeadline);
  });
  // The queue itself rejects the call when its deadline approaches.
  const rejection_reason* decision =
      admitted.WaitUntil(call.deadline + kQueueGrace);
  waiting_.erase(call.start.id);
  if (decision != nullptr) return *decision;
  announced.queue.Cancel(call.start.id);
  return rejection_reason::kDeadline;
}

served_call serving_controller::RunUnlessCancelled(
    announced_upstream& announced, inbound_call& call) {
  if (!call.cancel.IsCancelled()) return RunAtUpstream(announced, call);
  SignalWaiting(announced.queue.Release(call.start.id, std::nullopt));
  return MakeServedCall(outcome::kNotRun, end_reason::kCancelled);
}

served_call serving_controller::RunAtUpstream(announced_upstream& announced,
                                              inbound_call& call) {
  const time_point started_at = clock_.Now();
  log_.Write(
      event_id::kCallAdmitted,
      {{"request", call.start.id.ToString()},
       {"service", call.start.service},
       {"class", call.start.expected == call_class::kShort ? "short" : "long"},
       {"ingress", call.ingress}});
  // A cancellation by the caller is only forwarded to the upstream. The
  // upstream still decides how the call ends, and its answer is what a resend
  // of a claimed operation receives.
  const cancel_registration registration(
      call.cancel, [this, &call] { RequestUpstreamCancel(call.start.id); });
  cancel_source never;
  // A claimed operation never runs again, so the node waits for its answer even
  // after the caller has given up.
  const time_point limit =
      call.start.attempt ? call.deadline + kClaimedAnswerGrace : call.deadline;
  auto answer = announced.client->Call(
      ToUpstreamRequest(call, call.deadline - started_at), limit, never);
  const duration ran_for = clock_.Now() - started_at;
  if (!answer) {
    LogMalformedAnswer(log_, answer.error(), call.start.id,
                       announced.announcement.address.ToString());
  }
  served_call served = answer ? ToServedCall(std::move(answer).value())
                              : ToServedCall(answer.error());
  served.end.service_time_us = static_cast<std::uint64_t>(ran_for.count());
  const bool deadline_passed = served.end.reason == end_reason::kDeadlinePassed;
  // A claimed operation is not cancelled when its deadline passes, so that a
  // resend can still receive its answer.
  const bool may_stop = !call.start.attempt && !call.cancel.IsCancelled();
  if (deadline_passed && may_stop) RequestUpstreamCancel(call.start.id);
  load_report load;
  announced.queue.Describe(load);
  const std::uint32_t running = load.running_short + load.running_long;
  const bool answered = served.end.call_outcome == outcome::kAnswered;
  if (answered)
    announced.limit.RecordAnswer(call.start.expected, ran_for, running);
  if (served.end.reason == end_reason::kRejectedByUpstream) {
    announced.limit.RecordShed(running);
  }
  SignalWaiting(announced.queue.Release(
      call.start.id, answered ? std::optional(ran_for) : std::nullopt));
  ApplyConcurrencyLimit(announced);
  return served;
}

// Sends the cancellation on its own fiber, since the caller may be a cancel
// handler, which must not block.
void serving_controller::RequestUpstreamCancel(const request_id& id) {
  const auto announced = announced_upstream_;
  if (!announced || fibers_ == nullptr) return;
  log_.Write(event_id::kCallCancelled, {{"request", id.ToString()}});
  fibers_->Start([this, announced, id] {
    cancel_source never;
    const http_request request{.method = "DELETE",
                               .target = "/hornbeam/calls/" + id.ToString()};
    // The reply is ignored: the end of the call shows whether the upstream
    // cancelled it.
    (void)announced->client->Call(request, clock_.Now() + kCancelCallTimeout,
                                  never);
  });
}

void serving_controller::ApplyConcurrencyLimit(announced_upstream& announced) {
  SignalWaiting(announced.queue.SetSlots(announced.limit.Limit()));
}

void serving_controller::SignalWaiting(const admission_change& change) {
  const auto notify = [this](const request_id& id, rejection_reason reason) {
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) found->second->Set(reason);
  };
  for (const request_id& id : change.admitted) {
    notify(id, rejection_reason::kNone);
  }
  for (const rejected_call& rejected : change.rejected) {
    notify(rejected.id, rejected.reason);
  }
}

void serving_controller::ExpiryLoop() {
  while (!stopped_) {
    {
      std::unique_lock lock(mutex_);
      queue_grew_.wait(lock, [this] { return stopped_ || !waiting_.empty(); });
    }
    if (stopped_) return;
    if (announced_upstream_) SignalWaiting(announced_upstream_->queue.Expire());
    for (const auto& retired : retired_) SignalWaiting(retired->queue.Expire());
    std::erase_if(retired_,
                  [](const auto& retired) { return retired->queue.IsIdle(); });
    io_loop::SleepFor(kExpiryInterval);
  }
}

served_call serving_controller::Fence(const attempt_fence& fence) {
  attempt_report report = attempts_.Fence(
      MakeReference(fence.service, fence.attempt), fence.incarnation);
  switch (report.state) {
    case attempt_state::kNotRun:
      return MakeServedCall(outcome::kNotRun, end_reason::kFenced);
    case attempt_state::kRunning:
      return MakeServedCall(outcome::kUnknown, end_reason::kStillRunning);
    case attempt_state::kLost:
      return MakeServedCall(outcome::kUnknown, end_reason::kUpstreamLost);
    case attempt_state::kForgotten:
      return MakeServedCall(outcome::kUnknown, end_reason::kForgotten);
    case attempt_state::kOtherIncarnation:
      return MakeServedCall(outcome::kUnknown, end_reason::kWrongIncarnation);
    case attempt_state::kAnswered:
      break;
  }
  served_call served = MakeServedCall(outcome::kAnswered, end_reason::kNone);
  served.end.status = report.answer.status;
  served.end.headers = std::move(report.answer.headers);
  served.body = std::move(report.answer.body);
  return served;
}

bool serving_controller::Probe(load_report& load) {
  if (!probes_.TrySpend(kProbeReplyBytes)) return false;
  load = Report();
  return true;
}

load_report serving_controller::Report() {
  load_report report{.incarnation = self_.incarnation,
                     .sequence = ++report_sequence_};
  if (announced_upstream_) announced_upstream_->queue.Describe(report);
  report.draining = IsDraining();
  return report;
}

std::optional<upstream_announcement> serving_controller::Announced() const {
  if (!announced_upstream_) return std::nullopt;
  return announced_upstream_->announcement;
}

bool serving_controller::IsDraining() const {
  return draining_ || drained_by_operator_ ||
         (announced_upstream_ && announced_upstream_->announcement.draining);
}

}  // namespace hornbeam
