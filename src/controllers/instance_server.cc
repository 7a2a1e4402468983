#include "controllers/instance_server.h"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "controllers/served_end.h"
#include "controllers/upstream_life.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

// Upstreams work more slowly with nearly all slots taken; up to this share of
// them they work at full speed.
constexpr double kFullSpeedShare = 0.8;
// Longer waits are told as this one.
constexpr std::uint64_t kMostBacklogUs = 60'000'000;
// The queue lets go of a call by its deadline; this covers late wake-ups.
constexpr duration kQueueGrace = std::chrono::milliseconds(50);
// A look at the upstream's load takes about so long.
constexpr duration kLookTime = std::chrono::milliseconds(1);
// Between two looks in a slow spell while calls wait for its end.
constexpr duration kSpellLook = std::chrono::milliseconds(15);
constexpr double kWholePercent = 100;
constexpr unsigned kFirstServerError = 500;
// Waiting calls are moved on in steps of this length at least.
constexpr duration kAdvanceStep = std::chrono::milliseconds(2);

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
  return life_ ? life_->announced.service : std::string();
}

// ---- The upstream's own words ----

void instance_server::Announce(const instance_announcement& announced) {
  const bool is_same_id =
      life_ && life_->announced.instance == announced.instance;
  const bool is_first_word = is_same_id && life_->was_found;
  const bool is_same =
      is_same_id && (is_first_word ||
                     life_->announced.started_at_ms == announced.started_at_ms);
  if (!is_same) {
    // A late word of an earlier start.
    if (life_ && announced.started_at_ms < life_->announced.started_at_ms) {
      return;
    }
    Replace(announced);
    return;
  }
  const bool is_newer = announced.sequence > life_->announced.sequence;
  if (!is_first_word && !is_newer) return;
  life_->was_found = false;
  life_->cold_until = clock_.Now() + announced.cold_for;
  const bool drains = announced.draining && !life_->drained;
  life_->announced = announced;
  if (drains) Drain(*life_);
}

void instance_server::Replace(const instance_announcement& announced) {
  const auto address = endpoint::Parse(announced.address);
  if (!address) return;
  if (life_) life_->Tell(life_->queue.Clear(), wait_end::kDrained);
  life_ = std::make_shared<upstream_life>();
  life_->announced = announced;
  life_->cold_until = clock_.Now() + announced.cold_for;
  life_->address = *address;
  life_->client = http_client::MakeHttpClient(
      loop_, address->host, address->port,
      http_client_options{.answer_limit_bytes = options_.answer_limit_bytes,
                          .echoed_field = std::string(codec_.EchoedField())},
      clock_);
  const auto limit =
      static_cast<std::uint32_t>(std::floor(kFullSpeedShare * announced.slots));
  life_->queue.SetLimits(std::max(limit, 1U), announced.slots);
  life_->drained = announced.draining;
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", announced.instance},
              {"service", announced.service},
              {"state", announced.draining ? "draining" : "ready"},
              {"started_at_ms", announced.started_at_ms}});
  on_change_(announced, announced.draining);
}

void instance_server::Withdraw(const instance_withdrawal& withdrawn) {
  const bool is_known =
      life_ && life_->announced.instance == withdrawn.instance &&
      (withdrawn.started_at_ms == 0 ||
       withdrawn.started_at_ms >= life_->announced.started_at_ms);
  if (is_known && !life_->drained) Drain(*life_);
}

void instance_server::Drain(upstream_life& at) {
  at.drained = true;
  at.Tell(at.queue.Clear(), wait_end::kDrained);
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", at.announced.instance},
              {"service", at.announced.service},
              {"state", "draining"},
              {"running", at.queue.Running()}});
  on_change_(at.announced, true);
}

// ---- Calls ----

served_call instance_server::Serve(inbound_call& call) {
  ++running_;
  const auto at = life_;
  served_call served;
  if (!at) {
    served = MakeEnd(outcome::kNotRun, end_reason::kNoUpstream);
  } else if (at->announced.instance != call.start.instance) {
    served = MakeEnd(outcome::kNotRun, end_reason::kWrongIncarnation);
  } else if (at->drained || (draining_ && call.ingress != self_.name)) {
    served = MakeEnd(outcome::kNotRun, end_reason::kDraining);
  } else {
    served = ServeAt(at, call);
  }
  --running_;
  served.end.load = Report();
  return served;
}

served_call instance_server::ServeAt(const std::shared_ptr<upstream_life>& at,
                                     inbound_call& call) {
  const time_point now = clock_.Now();
  if (!call.start.no_alternative &&
      !at->failures.Admits(call.start.idempotent, now)) {
    return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
  }
  const duration expected = at->times.Expected(
      call.start.route, at->Slowdown(at->speed.ShouldDefer(now), now),
      duration(call.start.objective_us));
  const shedding_call asked{
      .id = call.start.id,
      .expedited = at->times.IsExpedited(expected),
      .priority = call.start.priority,
      .objective_at = now + duration(call.start.objective_us),
      .deadline = call.deadline,
      .expected = expected,
      .wait_share = call.start.wait_percent / kWholePercent,
      .no_alternative = call.start.no_alternative};
  FollowSpeed(*at, now);
  const shedding_decision decision = at->queue.Offer(asked, now);
  switch (decision.verdict) {
    case shedding_verdict::kAdmitted:
      return RunAt(at, call);
    case shedding_verdict::kMissesObjective:
      return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
    case shedding_verdict::kMissesDeadline:
      return MakeEnd(outcome::kNotRun, end_reason::kCannotMeetDeadline);
    case shedding_verdict::kQueued:
      break;
  }
  changed_.notify_all();
  fiber_signal<wait_end> ended;
  at->waiting.emplace(call.start.id, &ended);
  // It may have pushed others beyond their time.
  at->Apply(at->queue.Advance(now));
  const wait_end* said = nullptr;
  {
    const cancel_registration registration(call.cancel, [&] {
      if (at->queue.Cancel(call.start.id)) ended.Set(wait_end::kMissesDeadline);
    });
    said = ended.WaitUntil(call.deadline + kQueueGrace);
  }
  at->waiting.erase(call.start.id);
  if (said == nullptr) at->queue.Cancel(call.start.id);
  switch (said == nullptr ? wait_end::kMissesDeadline : *said) {
    case wait_end::kAdmitted:
      return RunAt(at, call);
    case wait_end::kMissesObjective:
      return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
    case wait_end::kDrained:
      return MakeEnd(outcome::kNotRun, end_reason::kDraining);
    case wait_end::kMissesDeadline:
      break;
  }
  return MakeEnd(outcome::kNotRun, call.cancel.IsCancelled()
                                       ? end_reason::kCancelled
                                       : end_reason::kCannotMeetDeadline);
}

served_call instance_server::RunAt(const std::shared_ptr<upstream_life>& at,
                                   inbound_call& call) {
  const bool began_open = at->failures.IsOpen();
  served_call served = GiveTo(at, call);
  const bool is_cancelled = call.cancel.IsCancelled();
  const bool is_refusal = served.end.reason == end_reason::kUpstreamRefused;
  if (is_cancelled || is_refusal) return served;
  const bool was_open = at->failures.IsOpen();
  const bool failed = served.end.fate != outcome::kAnswered ||
                      served.end.status >= kFirstServerError;
  at->failures.Record(failed, began_open);
  if (at->failures.IsOpen() != was_open) {
    log_.Write(event_id::kUpstreamStateChanged,
               {{"instance", at->announced.instance},
                {"state", was_open ? "sound" : "failing"},
                {"failures_per_mille", at->failures.FailurePerMille()}});
  }
  return served;
}

served_call instance_server::GiveTo(const std::shared_ptr<upstream_life>& at,
                                    inbound_call& call) {
  const time_point started = clock_.Now();
  const double slowdown = at->Slowdown(false, started);
  http_request request{.method = call.start.method,
                       .target = call.start.target,
                       .headers = call.start.headers,
                       .body = std::move(call.body)};
  codec_.StampDispatch(request.headers, at->announced.instance,
                       call.deadline - started);
  auto answer = at->client->Call(request, call.deadline, call.cancel);
  const duration ran_for = clock_.Now() - started;
  if (answer) {
    const auto stated =
        codec_.ReadAnswer(answer.value().status, answer.value().headers).load;
    if (stated) at->speed.Observe(stated->slowdown_percent, clock_.Now());
  }
  FollowSpeed(*at, clock_.Now());
  at->Apply(at->queue.Release(clock_.Now()));
  if (!answer) {
    served_call failed = ToServed(answer.error());
    if (answer.error() != http_call_error::kNotSent) return failed;
    at->reachable = call.cancel.IsCancelled();
    if (at->reachable) failed.end.reason = end_reason::kCancelled;
    return failed;
  }
  http_response& said = answer.value();
  const upstream_answer read = codec_.ReadAnswer(said.status, said.headers);
  if (!read.ran) return MakeEnd(outcome::kNotRun, end_reason::kUpstreamRefused);
  constexpr unsigned kFirstFailure = 300;
  const bool succeeded = said.status < kFirstFailure;
  // A success without the upstream's signature is no answer of the upstream.
  if (succeeded && !read.genuine) {
    return MakeEnd(outcome::kUnknown, end_reason::kUpstreamLost);
  }
  if (succeeded) at->times.Record(call.start.route, ran_for, slowdown);
  served_call served = MakeEnd(outcome::kAnswered, end_reason::kNone);
  served.end.status = said.status;
  served.end.headers = std::move(said.headers);
  served.end.service_time_us = ToMicroseconds(ran_for);
  served.body = std::move(said.body);
  return served;
}

// Shuts the queue in a slow spell, and until the present speed is known.
void instance_server::FollowSpeed(upstream_life& at, time_point now) {
  if (!at.states_speed) return;
  if (at.speed.ShouldDefer(now)) {
    at.queue.Pause(at.speed.Remainder(now));
  } else if (!at.speed.IsFresh(now)) {
    at.queue.Pause(kLookTime);
  } else if (at.queue.IsPaused()) {
    at.Apply(at.queue.Resume(now));
  }
}

// Calls of routes are claimed nowhere.
served_call instance_server::Fence(const attempt_fence& /*fence*/) {
  return MakeEnd(outcome::kUnknown, end_reason::kForgotten);
}

bool instance_server::Probe(load_report& load) {
  load = Report();
  return true;
}

load_report instance_server::Report() {
  load_report report{.incarnation = self_.incarnation,
                     .sequence = ++report_sequence_};
  report.draining = draining_ || !life_ || life_->drained;
  if (!life_) return report;
  report.slot_limit = life_->queue.Limit();
  report.running_short = static_cast<std::uint32_t>(life_->queue.Running());
  report.queued_short = static_cast<std::uint32_t>(life_->queue.Waiting());
  report.service_time_short_us = static_cast<std::uint32_t>(
      life_->times.MeanUs() * life_->Slowdown(true, clock_.Now()));
  report.slowdown_percent = life_->speed.Percent();
  report.failure_per_mille = life_->failures.FailurePerMille();
  report.backlog_us = static_cast<std::uint32_t>(std::min<std::uint64_t>(
      ToMicroseconds(life_->queue.Backlog()), kMostBacklogUs));
  return report;
}

// ---- Looks at the upstream ----

// While calls wait for the upstream's speed it is looked at often, else rarely.
void instance_server::HealthLoop() {
  while (!stopped_) {
    const auto at = life_;
    if (at && !at->drained) CheckHealth(at);
    if (!at) FindUpstream();
    const time_point looked_at = clock_.Now();
    std::unique_lock lock(mutex_);
    const auto is_wanted = [&] {
      const auto present = life_;
      return stopped_ || (present && present->queue.IsPaused() &&
                          present->queue.Waiting() > 0);
    };
    changed_.wait_until(lock, looked_at + options_.health_interval, is_wanted);
    lock.unlock();
    const auto present = life_;
    if (stopped_ || !present || !present->speed.ShouldDefer(clock_.Now()))
      continue;
    io_loop::SleepUntil(looked_at + kSpellLook);
  }
}

// After a restart of this process alone the upstream goes on running, and its
// next announcement may be a second away.
void instance_server::FindUpstream() {
  if (!options_.upstream) return;
  const endpoint& address = *options_.upstream;
  const auto client = http_client::MakeHttpClient(
      loop_, address.host, address.port, options_.answer_limit_bytes, clock_);
  cancel_source never;
  const auto answer =
      client->Call({.method = "GET", .target = health_path_},
                   clock_.Now() + options_.health_timeout, never);
  if (!answer || life_) return;
  const health_answer said = codec_.ReadHealth(answer.value());
  const bool is_usable = said.healthy && !said.instance.empty() && said.load &&
                         said.load->slots > 0;
  if (!is_usable) return;
  Replace({.instance = said.instance,
           .service = options_.service,
           .address = address.ToString(),
           .slots = said.load->slots});
  life_->was_found = true;
}

void instance_server::CheckHealth(const std::shared_ptr<upstream_life>& at) {
  cancel_source never;
  const http_request request{.method = "GET", .target = health_path_};
  const auto answer =
      at->client->Call(request, clock_.Now() + options_.health_timeout, never);
  const bool was_reachable = at->reachable;
  at->reachable = answer || answer.error() != http_call_error::kNotSent;
  if (at->reachable != was_reachable) {
    log_.Write(event_id::kUpstreamStateChanged,
               {{"instance", at->announced.instance},
                {"state", at->reachable ? "reachable" : "unreachable"}});
  }
  std::optional<upstream_load> load;
  if (answer) load = codec_.ReadHealth(answer.value()).load;
  const time_point now = clock_.Now();
  at->states_speed = load.has_value();
  if (load) at->speed.Observe(load->slowdown_percent, now);
  if (load) {
    FollowSpeed(*at, now);
  } else if (at->queue.IsPaused()) {
    at->Apply(at->queue.Resume(now));
  }
}

// Moves waiting calls on when their time comes.
void instance_server::AdvanceLoop() {
  while (!stopped_) {
    const auto at = life_;
    const auto next = at ? at->queue.NextChange() : std::nullopt;
    const time_point now = clock_.Now();
    if (next && *next <= now) at->Apply(at->queue.Advance(now));
    std::unique_lock lock(mutex_);
    if (!next) {
      changed_.wait(lock, [this] {
        return stopped_ || (life_ && life_->queue.Waiting() > 0);
      });
    } else {
      changed_.wait_until(lock, std::max(*next, now + kAdvanceStep));
    }
  }
}

}  // namespace hornbeam
