#include "controllers/instance_server.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "controllers/served_call.h"
#include "controllers/upstream_lifecycle.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

// Longer backlogs are reported as this value.
constexpr std::uint64_t kMaxBacklogUs = 60'000'000;
// The queue drops a call by its deadline; the grace period covers late
// wake-ups.
constexpr duration kQueueGrace = std::chrono::milliseconds(50);
// Expected duration of a health check, which reports the upstream's load.
constexpr duration kHealthCheckTime = std::chrono::milliseconds(1);
// Health check interval during a transient slowdown while calls wait for its
// end.
constexpr duration kSlowdownCheckInterval = std::chrono::milliseconds(15);
constexpr double kWholePercent = 100;
constexpr unsigned kFirstServerErrorStatus = 500;
// Minimum time between two updates of the waiting calls.
constexpr duration kMinAdvanceInterval = std::chrono::milliseconds(2);

}  // namespace

instance_server::instance_server(io_loop& loop, const clock_source& clock,
                                 event_log& log, const process_identity& self,
                                 const platform_codec& codec,
                                 const instance_server_options& options)
    : loop_(loop),
      clock_(clock),
      log_(log),
      self_(self),
      codec_(codec),
      options_(options),
      departures_(clock, log, self.name, options.departures) {}

instance_server::~instance_server() = default;

void instance_server::Start(
    fiber_group& fibers,
    std::function<void(const instance_announcement&, bool)> on_change) {
  fibers_ = &fibers;
  on_change_ = std::move(on_change);
  departures_.Start(fibers, [this] { ApplyHeldAnnouncement(); });
  fibers.Start([this] { HealthLoop(); });
  fibers.Start([this] { AdvanceLoop(); });
}

void instance_server::Stop() {
  stopped_ = true;
  departures_.Stop();
  changed_.notify_all();
}

std::string instance_server::Service() const {
  return upstream_ ? upstream_->announced.service : std::string();
}

// ---- Calls ----

served_call instance_server::Serve(inbound_call& call) {
  ++running_;
  const auto upstream = upstream_;
  served_call served;
  if (!upstream) {
    served = MakeServedCall(outcome::kNotRun, end_reason::kNoUpstream);
  } else if (upstream->announced.instance != call.start.instance) {
    served = MakeServedCall(outcome::kNotRun, end_reason::kWrongIncarnation);
  } else if (upstream->drained || (draining_ && call.ingress != self_.name)) {
    served = MakeServedCall(outcome::kNotRun, end_reason::kDraining);
  } else {
    served = QueueAndRun(upstream, call);
  }
  --running_;
  served.end.load = Report();
  return served;
}

served_call instance_server::QueueAndRun(
    const std::shared_ptr<upstream_lifecycle>& upstream, inbound_call& call) {
  const time_point now = clock_.Now();
  if (!call.start.no_alternative &&
      !upstream->breaker.Admits(call.start.idempotent, now)) {
    return MakeServedCall(outcome::kNotRun, end_reason::kTryAnotherNode);
  }
  const duration expected = upstream->times.Expected(
      call.start.route,
      upstream->Slowdown(upstream->detector.ShouldDefer(now), now),
      duration(call.start.objective_us));
  const shedding_call offered{
      .id = call.start.id,
      .expedited = upstream->times.IsExpedited(expected),
      .priority = call.start.priority,
      .objective_at = now + duration(call.start.objective_us),
      .deadline = call.deadline,
      .expected = expected,
      .wait_share = call.start.wait_percent / kWholePercent,
      .no_alternative = call.start.no_alternative};
  UpdateQueuePause(*upstream, now);
  const shedding_decision decision = upstream->queue.Offer(offered, now);
  switch (decision.verdict) {
    case shedding_verdict::kAdmitted:
      return RunAdmitted(upstream, call);
    case shedding_verdict::kMissesObjective:
      return MakeServedCall(outcome::kNotRun, end_reason::kTryAnotherNode);
    case shedding_verdict::kMissesDeadline:
      return MakeServedCall(outcome::kNotRun, end_reason::kCannotMeetDeadline);
    case shedding_verdict::kQueued:
      break;
  }
  changed_.notify_all();
  fiber_signal<wait_result> slot_signal;
  upstream->waiters.emplace(call.start.id, &slot_signal);
  // The new call may have delayed others beyond their objective or deadline.
  upstream->Apply(upstream->queue.Advance(now));
  const wait_result* result = nullptr;
  {
    const cancel_registration registration(call.cancel, [&] {
      if (upstream->queue.Cancel(call.start.id))
        slot_signal.Set(wait_result::kMissesDeadline);
    });
    result = slot_signal.WaitUntil(call.deadline + kQueueGrace);
  }
  upstream->waiters.erase(call.start.id);
  if (result == nullptr) upstream->queue.Cancel(call.start.id);
  switch (result == nullptr ? wait_result::kMissesDeadline : *result) {
    case wait_result::kAdmitted:
      return RunAdmitted(upstream, call);
    case wait_result::kMissesObjective:
      return MakeServedCall(outcome::kNotRun, end_reason::kTryAnotherNode);
    case wait_result::kDrained:
      return MakeServedCall(outcome::kNotRun, end_reason::kDraining);
    case wait_result::kMissesDeadline:
      break;
  }
  return MakeServedCall(outcome::kNotRun,
                        call.cancel.IsCancelled()
                            ? end_reason::kCancelled
                            : end_reason::kCannotMeetDeadline);
}

served_call instance_server::RunAdmitted(
    const std::shared_ptr<upstream_lifecycle>& upstream, inbound_call& call) {
  const bool was_open_at_start = upstream->breaker.IsOpen();
  served_call served = SendToUpstream(upstream, call);
  const bool is_cancelled = call.cancel.IsCancelled();
  const bool is_rejection =
      served.end.reason == end_reason::kRejectedByUpstream;
  if (is_cancelled || is_rejection) return served;
  const bool was_open = upstream->breaker.IsOpen();
  const bool failed = served.end.call_outcome != outcome::kAnswered ||
                      served.end.status >= kFirstServerErrorStatus;
  upstream->breaker.Record(failed, was_open_at_start);
  if (upstream->breaker.IsOpen() != was_open) {
    log_.Write(event_id::kUpstreamStateChanged,
               {{"instance", upstream->announced.instance},
                {"state", was_open ? "sound" : "failing"},
                {"failures_per_mille", upstream->breaker.FailurePerMille()}});
  }
  return served;
}

served_call instance_server::SendToUpstream(
    const std::shared_ptr<upstream_lifecycle>& upstream, inbound_call& call) {
  const time_point started = clock_.Now();
  const double slowdown = upstream->Slowdown(false, started);
  http_request request{.method = call.start.method,
                       .target = call.start.target,
                       .headers = call.start.headers,
                       .body = std::move(call.body)};
  codec_.AddDispatchFields(request.headers, upstream->announced.instance,
                           call.deadline - started);
  const std::string caller_id(
      request.Header(codec_.EchoedField()).value_or(std::string_view()));
  const auto choice = upstream->refused.Contains(caller_id)
                          ? connection_choice::kUnused
                          : connection_choice::kPooled;
  auto answer =
      upstream->client->Call(request, call.deadline, call.cancel, choice);
  const duration ran_for = clock_.Now() - started;
  if (answer) {
    const auto reported_load =
        codec_.ReadAnswer(answer.value().status, answer.value().headers).load;
    if (reported_load)
      upstream->detector.Observe(reported_load->slowdown_percent, clock_.Now());
  }
  UpdateQueuePause(*upstream, clock_.Now());
  upstream->Apply(upstream->queue.Release(clock_.Now()));
  if (!answer) {
    LogMalformedAnswer(log_, answer.error(), call.start.id,
                       upstream->announced.instance);
    served_call failed = ToServedCall(answer.error());
    if (answer.error() != http_call_error::kNotSent) return failed;
    upstream->reachable = call.cancel.IsCancelled();
    if (upstream->reachable) failed.end.reason = end_reason::kCancelled;
    return failed;
  }
  http_response& response = answer.value();
  const upstream_answer read =
      codec_.ReadAnswer(response.status, response.headers);
  if (!read.ran) {
    upstream->refused.Record(caller_id, call.deadline, clock_.Now());
    return MakeServedCall(outcome::kNotRun, end_reason::kRejectedByUpstream);
  }
  constexpr unsigned kFirstNonSuccessStatus = 300;
  const bool succeeded = response.status < kFirstNonSuccessStatus;
  // The upstream signs its successes and encodes no body.
  if (read.is_encoded || (succeeded && !read.has_signature)) {
    constexpr auto kError = http_call_error::kMalformed;
    LogMalformedAnswer(log_, kError, call.start.id,
                       upstream->announced.instance);
    return ToServedCall(kError);
  }
  if (succeeded) upstream->times.Record(call.start.route, ran_for, slowdown);
  served_call served = MakeServedCall(outcome::kAnswered, end_reason::kNone);
  served.end.status = response.status;
  served.end.headers = std::move(response.headers);
  served.end.service_time_us = ToMicroseconds(ran_for);
  served.body = std::move(response.body);
  return served;
}

// Pauses the queue during a transient slowdown and while the upstream's current
// speed is unknown; resumes it afterwards.
void instance_server::UpdateQueuePause(upstream_lifecycle& upstream,
                                       time_point now) {
  if (!upstream.reports_load) return;
  if (upstream.detector.ShouldDefer(now)) {
    upstream.queue.Pause(upstream.detector.Remainder(now));
  } else if (!upstream.detector.IsFresh(now)) {
    upstream.queue.Pause(kHealthCheckTime);
  } else if (upstream.queue.IsPaused()) {
    upstream.Apply(upstream.queue.Resume(now));
  }
}

// Routed calls have no ledger record, so no attempt of theirs can be fenced.
served_call instance_server::Fence(const attempt_fence& /*fence*/) {
  return MakeServedCall(outcome::kUnknown, end_reason::kForgotten);
}

bool instance_server::Probe(load_report& load) {
  load = Report();
  return true;
}

load_report instance_server::Report() {
  load_report report{.incarnation = self_.incarnation,
                     .sequence = ++report_sequence_};
  report.draining = draining_ || !upstream_ || upstream_->drained;
  if (!upstream_) return report;
  report.slot_limit = upstream_->queue.Limit();
  report.running_short = static_cast<std::uint32_t>(upstream_->queue.Running());
  report.queued_short = static_cast<std::uint32_t>(upstream_->queue.Waiting());
  report.service_time_short_us = static_cast<std::uint32_t>(
      upstream_->times.MeanUs() * upstream_->Slowdown(true, clock_.Now()));
  report.slowdown_percent = upstream_->detector.Percent();
  report.failure_per_mille = upstream_->breaker.FailurePerMille();
  report.backlog_us = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      ToMicroseconds(upstream_->queue.Backlog()), kMaxBacklogUs));
  return report;
}

// ---- Health checks ----

// Checks the upstream's health at `health_interval`, and more often while calls
// wait for the end of a slowdown.
void instance_server::HealthLoop() {
  while (!stopped_) {
    const auto upstream = upstream_;
    if (upstream && NeedsHealthChecks(*upstream)) CheckHealth(upstream);
    if (!upstream) FindUpstream();
    const time_point checked_at = clock_.Now();
    std::unique_lock lock(mutex_);
    const auto is_check_due = [&] {
      const auto current = upstream_;
      return stopped_ || (current && current->queue.IsPaused() &&
                          current->queue.Waiting() > 0);
    };
    changed_.wait_until(lock, checked_at + options_.health_interval,
                        is_check_due);
    lock.unlock();
    const auto current = upstream_;
    if (stopped_ || !current || !current->detector.ShouldDefer(clock_.Now()))
      continue;
    io_loop::SleepUntil(checked_at + kSlowdownCheckInterval);
  }
}

// A later incarnation of an upstream that left without a known start is known
// by its health checks.
bool instance_server::NeedsHealthChecks(
    const upstream_lifecycle& upstream) const {
  if (!upstream.drained) return true;
  const auto departure = departures_.Find(upstream.announced.instance);
  return departure && !departure->start_known;
}

// Looks for an upstream that already runs. After a restart of this process
// alone the upstream keeps running, and its next announcement may be a second
// away.
void instance_server::FindUpstream() {
  if (!options_.upstream || !departures_.IsLoaded()) return;
  const endpoint& address = *options_.upstream;
  const auto client = MakeHealthClient(address);
  const std::uint64_t departures_before = departure_count_;
  cancel_source never;
  const auto answer =
      client->Call({.method = "GET", .target = health_path_},
                   clock_.Now() + options_.health_timeout, never);
  if (upstream_ || departure_count_ != departures_before) return;
  found_instance_.clear();
  if (!answer) return;
  const health_answer health = codec_.ReadHealth(answer.value());
  found_instance_ = health.healthy ? health.instance : std::string();
  // A later incarnation with the same id cannot be told from one that has left
  // before it announces itself.
  if (departures_.Find(health.instance)) return ApplyProvedAnnouncement();
  const bool is_usable = health.healthy && !health.instance.empty() &&
                         health.load && health.load->slots > 0;
  if (!is_usable) return;
  ReplaceUpstream({.instance = health.instance,
                   .service = options_.service,
                   .address = address.ToString(),
                   .slots = health.load->slots});
  upstream_->found_by_health_check = true;
}

void instance_server::CheckHealth(
    const std::shared_ptr<upstream_lifecycle>& upstream) {
  cancel_source never;
  const std::uint64_t departures_before = departure_count_;
  const http_request request{.method = "GET", .target = health_path_};
  const auto answer = upstream->health_client->Call(
      request, clock_.Now() + options_.health_timeout, never);
  const bool was_reachable = upstream->reachable;
  upstream->reachable = answer || answer.error() != http_call_error::kNotSent;
  if (upstream->reachable != was_reachable) {
    log_.Write(event_id::kUpstreamStateChanged,
               {{"instance", upstream->announced.instance},
                {"state", upstream->reachable ? "reachable" : "unreachable"}});
  }
  std::optional<upstream_load> load;
  if (answer) {
    health_answer health = codec_.ReadHealth(answer.value());
    load = health.load;
    const bool proves_use =
        health.healthy && departure_count_ == departures_before;
    if (proves_use) {
      upstream->answering_instance = std::move(health.instance);
      ApplyProvedAnnouncement();
    }
  }
  const time_point now = clock_.Now();
  upstream->reports_load = load.has_value();
  if (load) upstream->detector.Observe(load->slowdown_percent, now);
  if (load) {
    UpdateQueuePause(*upstream, now);
  } else if (upstream->queue.IsPaused()) {
    upstream->Apply(upstream->queue.Resume(now));
  }
}

// Advances the queue whenever a waiting call is due for a decision.
void instance_server::AdvanceLoop() {
  while (!stopped_) {
    const auto upstream = upstream_;
    const auto next = upstream ? upstream->queue.NextChange() : std::nullopt;
    const time_point now = clock_.Now();
    if (next && *next <= now) upstream->Apply(upstream->queue.Advance(now));
    std::unique_lock lock(mutex_);
    if (!next) {
      changed_.wait(lock, [this] {
        return stopped_ || (upstream_ && upstream_->queue.Waiting() > 0);
      });
    } else {
      changed_.wait_until(lock, std::max(*next, now + kMinAdvanceInterval));
    }
  }
}

}  // namespace hornbeam
