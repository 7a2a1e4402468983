#include "controllers/instance_server.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "http/http_client.h"
#include "io/fiber_group.h"
#include "io/fiber_signal.h"
#include "io/io_loop.h"
#include "policy/crest_queue.h"
#include "policy/failure_gate.h"
#include "policy/spell_watch.h"

namespace hornbeam {

namespace {

// Upstreams work more slowly with nearly all slots taken; up to this share of
// them they work at full speed.
constexpr double kFullSpeedShare = 0.8;
// Weight of one call in the usual time of its route.
constexpr double kTimeWeight = 0.1;
// Before a route's time was measured: this share of its objective.
constexpr double kFirstGuess = 0.25;
// Longer waits are told as this one.
constexpr std::uint64_t kMostBacklogUs = 60'000'000;
// The queue lets go of a call by its deadline; this covers late wake-ups.
constexpr duration kQueueGrace = std::chrono::milliseconds(50);
// Calls whose time is below this share of the longest route's are brief.
constexpr double kBriefShare = 0.5;
// A look at the upstream's load takes about so long.
constexpr duration kLookTime = std::chrono::milliseconds(1);
// Between two looks in a slow spell while calls wait for its end.
constexpr duration kSpellLook = std::chrono::milliseconds(15);
constexpr std::uint32_t kUsualPercent = 100;
constexpr double kWholePercent = 100;
// Work at an upstream that has just started takes about so many times as long.
constexpr double kColdFactor = 2;
constexpr unsigned kFirstServerError = 500;
// Waiting calls are moved on in steps of this length at least.
constexpr duration kAdvanceStep = std::chrono::milliseconds(2);

enum class wait_end : std::uint8_t { kAdmitted, kLate, kHopeless, kDrained };

served_call MakeEnd(outcome fate, end_reason reason) {
  served_call served;
  served.end.fate = fate;
  served.end.reason = reason;
  return served;
}

}  // namespace

// One start of the upstream. Shared by the calls that run there: one that was
// replaced lives on until its last call has ended.
struct instance_server::life {
  instance_announcement announced;
  endpoint address;
  std::unique_ptr<http_client> client;
  crest_queue queue;
  std::unordered_map<request_id, fiber_signal<wait_end>*> waiting;
  std::map<std::string, double, std::less<>> usual_us;  // By route.
  double mean_us = 0;                                   // Over all routes.
  spell_watch speed{spell_options{}};
  failure_gate failures{failure_gate_options{}};
  bool states_speed = false;  // Whether the upstream tells its load at all.
  time_point cold_until;      // Slow after its start until then.
  bool drained = false;
  bool reachable = true;
  bool was_found = false;  // By its health check; it has said nothing yet.

  [[nodiscard]] double ColdFactor(time_point now) const {
    return now < cold_until ? kColdFactor : 1.0;
  }

  // At the speed that work beginning now would have.
  [[nodiscard]] duration Expected(const call_start& start,
                                  time_point now) const {
    const auto found = usual_us.find(start.route);
    if (found == usual_us.end()) {
      const auto objective = std::max<std::int64_t>(start.objective_us, 0);
      return duration(static_cast<std::int64_t>(
          kFirstGuess * static_cast<double>(objective)));
    }
    const bool waits = speed.HoldsBack(now);
    const double slowdown =
        (waits ? 1.0 : static_cast<double>(speed.Percent()) / kUsualPercent) *
        ColdFactor(now);
    return duration(static_cast<std::int64_t>(found->second * slowdown));
  }

  [[nodiscard]] bool IsBrief(duration expected) const {
    const auto is_far_longer = [expected](const auto& route) {
      return kBriefShare * route.second > static_cast<double>(expected.count());
    };
    return std::ranges::any_of(usual_us, is_far_longer);
  }

  // `percent`: the slowdown that was stated when the work began.
  void RecordTime(const std::string& route, duration ran_for,
                  std::uint32_t percent, double cold_factor) {
    const auto time = static_cast<double>(ran_for.count()) * kUsualPercent /
                      std::max(percent, kUsualPercent) / cold_factor;
    const auto [entry, is_new] = usual_us.try_emplace(route, time);
    if (!is_new) entry->second += kTimeWeight * (time - entry->second);
    mean_us += mean_us > 0 ? kTimeWeight * (time - mean_us) : time;
  }

  void Apply(const crest_change& change) {
    Tell(change.admitted, wait_end::kAdmitted);
    Tell(change.late, wait_end::kLate);
    Tell(change.hopeless, wait_end::kHopeless);
  }

  void Tell(const std::vector<request_id>& ids, wait_end end) {
    for (const request_id& id : ids) {
      const auto found = waiting.find(id);
      if (found != waiting.end()) found->second->Set(end);
    }
  }
};

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
  life_ = std::make_shared<life>();
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

void instance_server::Drain(life& at) {
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

served_call instance_server::ServeAt(const std::shared_ptr<life>& at,
                                     inbound_call& call) {
  const time_point now = clock_.Now();
  if (!call.start.settles && !at->failures.Admits(call.start.idempotent, now)) {
    return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
  }
  const duration expected = at->Expected(call.start, now);
  const crest_call asked{
      .id = call.start.id,
      .brief = at->IsBrief(expected),
      .priority = call.start.priority,
      .objective_at = now + duration(call.start.objective_us),
      .deadline = call.deadline,
      .expected = expected,
      .wait_share = call.start.wait_percent / kWholePercent,
      .settles = call.start.settles};
  FollowSpeed(*at, now);
  const crest_decision decision = at->queue.Offer(asked, now);
  switch (decision.verdict) {
    case crest_verdict::kAdmitted:
      return RunAt(at, call);
    case crest_verdict::kLate:
      return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
    case crest_verdict::kHopeless:
      return MakeEnd(outcome::kNotRun, end_reason::kCannotMeetDeadline);
    case crest_verdict::kQueued:
      break;
  }
  changed_.notify_all();
  fiber_signal<wait_end> ended;
  at->waiting.emplace(call.start.id, &ended);
  const wait_end* said = nullptr;
  {
    const cancel_registration registration(call.cancel, [&] {
      if (at->queue.Cancel(call.start.id)) ended.Set(wait_end::kHopeless);
    });
    said = ended.WaitUntil(call.deadline + kQueueGrace);
  }
  at->waiting.erase(call.start.id);
  if (said == nullptr) at->queue.Cancel(call.start.id);
  switch (said == nullptr ? wait_end::kHopeless : *said) {
    case wait_end::kAdmitted:
      return RunAt(at, call);
    case wait_end::kLate:
      return MakeEnd(outcome::kNotRun, end_reason::kBetterPlace);
    case wait_end::kDrained:
      return MakeEnd(outcome::kNotRun, end_reason::kDraining);
    case wait_end::kHopeless:
      break;
  }
  return MakeEnd(outcome::kNotRun, call.cancel.IsCancelled()
                                       ? end_reason::kCancelled
                                       : end_reason::kCannotMeetDeadline);
}

served_call instance_server::RunAt(const std::shared_ptr<life>& at,
                                   inbound_call& call) {
  served_call served = GiveTo(at, call);
  const bool is_cancelled = call.cancel.IsCancelled();
  const bool is_refusal = served.end.reason == end_reason::kUpstreamRefused;
  if (is_cancelled || is_refusal) return served;
  const bool was_shut = at->failures.IsShut();
  at->failures.Record(served.end.fate != outcome::kAnswered ||
                      served.end.status >= kFirstServerError);
  if (at->failures.IsShut() != was_shut) {
    log_.Write(event_id::kUpstreamStateChanged,
               {{"instance", at->announced.instance},
                {"state", was_shut ? "sound" : "failing"},
                {"failures_per_mille", at->failures.FailurePerMille()}});
  }
  return served;
}

served_call instance_server::GiveTo(const std::shared_ptr<life>& at,
                                    inbound_call& call) {
  const time_point started = clock_.Now();
  const std::uint32_t percent = at->speed.Percent();
  const double cold_factor = at->ColdFactor(started);
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
    switch (answer.error()) {
      case http_call_error::kNotSent:
        at->reachable = call.cancel.IsCancelled();
        return MakeEnd(outcome::kNotRun, call.cancel.IsCancelled()
                                             ? end_reason::kCancelled
                                             : end_reason::kNoUpstream);
      case http_call_error::kTimeout:
        return MakeEnd(outcome::kUnknown, end_reason::kDeadlinePassed);
      case http_call_error::kCancelled:
        return MakeEnd(outcome::kUnknown, end_reason::kCancelled);
      case http_call_error::kTooLarge:
        return MakeEnd(outcome::kUnknown, end_reason::kTooLarge);
      case http_call_error::kLost:
      case http_call_error::kMalformed:
        return MakeEnd(outcome::kUnknown, end_reason::kUpstreamLost);
    }
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
  if (succeeded) {
    at->RecordTime(call.start.route, ran_for, percent, cold_factor);
  }
  served_call served = MakeEnd(outcome::kAnswered, end_reason::kNone);
  served.end.status = said.status;
  served.end.headers = std::move(said.headers);
  served.end.service_time_us = ToMicroseconds(ran_for);
  served.body = std::move(said.body);
  return served;
}

// Shuts the queue in a slow spell, and until the present speed is known.
void instance_server::FollowSpeed(life& at, time_point now) {
  if (!at.states_speed) return;
  if (at.speed.HoldsBack(now)) {
    at.queue.Shut(at.speed.Remainder(now));
  } else if (!at.speed.IsFresh(now)) {
    at.queue.Shut(kLookTime);
  } else if (at.queue.IsShut()) {
    at.Apply(at.queue.Open(now));
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
      life_->mean_us * life_->ColdFactor(clock_.Now()));
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
      return stopped_ || (present && present->queue.IsShut() &&
                          present->queue.Waiting() > 0);
    };
    changed_.wait_until(lock, looked_at + options_.health_interval, is_wanted);
    lock.unlock();
    const auto present = life_;
    if (stopped_ || !present || !present->speed.HoldsBack(clock_.Now()))
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

void instance_server::CheckHealth(const std::shared_ptr<life>& at) {
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
  } else if (at->queue.IsShut()) {
    at->Apply(at->queue.Open(now));
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
