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

// Upstreams slow down when nearly all of their slots are taken; up to this
// share they work at full speed.
constexpr double kFullSpeedShare = 0.8;
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
// Longer names of instances and services are rejected; they travel in every
// lease and load report.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kHealthAnswerBytes = 64UL * 1024;
constexpr std::string_view kEarlierIncarnation =
    "it is of an earlier incarnation of this instance";
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
      options_(options) {}

instance_server::~instance_server() = default;

void instance_server::Start(
    fiber_group& fibers,
    std::function<void(const instance_announcement&, bool)> on_change) {
  fibers_ = &fibers;
  on_change_ = std::move(on_change);
  fibers.Start([this] { HealthLoop(); });
  fibers.Start([this] { AdvanceLoop(); });
}

void instance_server::Stop() {
  stopped_ = true;
  changed_.notify_all();
}

std::string instance_server::Service() const {
  return upstream_ ? upstream_->announced.service : std::string();
}

// ---- Announcements of the upstream ----

std::optional<std::string_view> instance_server::RejectionReason(
    const instance_withdrawal& withdrawn) const {
  if (IsEarlierIncarnation(withdrawn.instance, withdrawn.started_at_ms))
    return kEarlierIncarnation;
  return std::nullopt;
}

bool instance_server::IsEarlierIncarnation(std::string_view instance,
                                           std::int64_t started_at_ms) const {
  return upstream_ && upstream_->announced.instance == instance &&
         started_at_ms != 0 &&
         started_at_ms < upstream_->announced.started_at_ms;
}

std::optional<std::string_view> instance_server::RejectionReason(
    const instance_announcement& announced) const {
  if (announced.instance.empty() || announced.instance.size() > kMaxNameBytes)
    return "the instance's id is empty or too long";
  if (announced.service.size() > kMaxNameBytes)
    return "the service's name is too long";
  const auto address = endpoint::Parse(announced.address);
  if (!address || address->port == 0)
    return "the address is no IP number with a port";
  if (options_.upstream && *address != *options_.upstream)
    return "the address is not that of this node's upstream";
  const bool is_known = announced.service == options_.service ||
                        (options_.is_known_service &&
                         options_.is_known_service(announced.service));
  if (!is_known) return "the service is unknown";
  if (IsEarlierIncarnation(announced.instance, announced.started_at_ms))
    return kEarlierIncarnation;
  return std::nullopt;
}

void instance_server::Announce(const instance_announcement& announced) {
  if (RejectionReason(announced)) return;
  if (IsStale(announced)) {
    log_.Write(event_id::kAnnouncementRejected,
               {{"instance", announced.instance},
                {"started_at_ms", announced.started_at_ms},
                {"sequence", announced.sequence},
                {"reason", "a later incarnation is known, or it has left"}});
    return;
  }
  const bool is_same_id =
      upstream_ && upstream_->announced.instance == announced.instance;
  const bool is_first_announcement =
      is_same_id && upstream_->found_by_health_check;
  const bool is_same = is_same_id && (is_first_announcement ||
                                      upstream_->announced.started_at_ms ==
                                          announced.started_at_ms);
  if (!is_same) {
    ReplaceUpstream(announced);
    return;
  }
  const bool is_newer = announced.sequence > upstream_->announced.sequence;
  if (!is_first_announcement && !is_newer) return;
  upstream_->found_by_health_check = false;
  upstream_->cold_until = clock_.Now() + announced.cold_start_remaining;
  const bool drains = announced.draining && !upstream_->drained;
  upstream_->announced = announced;
  if (drains) DrainUpstream(*upstream_);
}

// An incarnation of another id that started earlier is stale unless it answers
// the health checks: then the later announcement was wrong.
bool instance_server::IsStale(const instance_announcement& announced) const {
  const bool has_left = withdrawn_ &&
                        withdrawn_->instance == announced.instance &&
                        announced.started_at_ms <= withdrawn_->started_at_ms;
  if (has_left) return true;
  if (!upstream_) return false;
  return announced.started_at_ms < upstream_->announced.started_at_ms &&
         upstream_->answering_instance != announced.instance;
}

void instance_server::ReplaceUpstream(const instance_announcement& announced) {
  const auto address = endpoint::Parse(announced.address);
  if (!address) return;
  if (upstream_)
    upstream_->Notify(upstream_->queue.Clear(), wait_result::kDrained);
  upstream_ = std::make_shared<upstream_lifecycle>();
  upstream_->announced = announced;
  upstream_->cold_until = clock_.Now() + announced.cold_start_remaining;
  upstream_->address = *address;
  upstream_->client = http_client::MakeHttpClient(
      loop_, address->host, address->port,
      http_client_options{
          .answer_limit_bytes = options_.answer_limit_bytes,
          .total_answer_limit_bytes = options_.total_answer_limit_bytes,
          .echoed_field = std::string(codec_.EchoedField())},
      clock_);
  upstream_->health_client = MakeHealthClient(*address);
  const auto limit =
      static_cast<std::uint32_t>(std::floor(kFullSpeedShare * announced.slots));
  upstream_->queue.SetLimits(std::max(limit, 1U), announced.slots);
  upstream_->drained = announced.draining;
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", announced.instance},
              {"service", announced.service},
              {"state", announced.draining ? "draining" : "ready"},
              {"started_at_ms", announced.started_at_ms}});
  on_change_(announced, announced.draining);
}

std::unique_ptr<http_client> instance_server::MakeHealthClient(
    const endpoint& address) {
  return http_client::MakeHttpClient(
      loop_, address.host, address.port,
      http_client_options{.answer_limit_bytes = kHealthAnswerBytes,
                          .total_answer_limit_bytes = kHealthAnswerBytes},
      clock_);
}

void instance_server::Withdraw(const instance_withdrawal& withdrawn) {
  if (RejectionReason(withdrawn)) return;
  const bool is_newer_leave =
      !withdrawn_ || withdrawn_->instance != withdrawn.instance ||
      withdrawn_->started_at_ms < withdrawn.started_at_ms;
  if (is_newer_leave) withdrawn_ = withdrawn;
  const bool is_known =
      upstream_ && upstream_->announced.instance == withdrawn.instance &&
      (withdrawn.started_at_ms == 0 ||
       withdrawn.started_at_ms >= upstream_->announced.started_at_ms);
  if (is_known && !upstream_->drained) DrainUpstream(*upstream_);
}

void instance_server::DrainUpstream(upstream_lifecycle& upstream) {
  upstream.drained = true;
  upstream.Notify(upstream.queue.Clear(), wait_result::kDrained);
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", upstream.announced.instance},
              {"service", upstream.announced.service},
              {"state", "draining"},
              {"running", upstream.queue.Running()}});
  on_change_(upstream.announced, true);
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
    if (upstream && !upstream->drained) CheckHealth(upstream);
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

// Looks for an upstream that already runs. After a restart of this process
// alone the upstream keeps running, and its next announcement may be a second
// away.
void instance_server::FindUpstream() {
  if (!options_.upstream) return;
  const endpoint& address = *options_.upstream;
  const auto client = MakeHealthClient(address);
  cancel_source never;
  const auto answer =
      client->Call({.method = "GET", .target = health_path_},
                   clock_.Now() + options_.health_timeout, never);
  if (!answer || upstream_) return;
  const health_answer health = codec_.ReadHealth(answer.value());
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
    if (health.healthy)
      upstream->answering_instance = std::move(health.instance);
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
