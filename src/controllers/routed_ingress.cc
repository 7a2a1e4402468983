#include "controllers/routed_ingress.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "hornbeam/random_source.h"
#include "io/cancel_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "wire/call_server.h"

namespace hornbeam {

namespace {

// After so many rejections a request goes back to the rejecting upstream with
// the shortest expected wait, marked as having no alternative: that upstream
// queues it even if it will miss its objective.
constexpr std::size_t kMostRefusals = 3;
// Backoff for an upstream that could not be reached; doubles with each further
// failure up to the maximum.
constexpr duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr duration kLongestAvoidance = std::chrono::seconds(4);
// Assumed cross-zone round trip.
constexpr duration kCrossing = std::chrono::milliseconds(4);
// Weight of one request in the moving average of its route's bytes.
constexpr double kBytesWeight = 0.1;
constexpr double kWholePercent = 100;
// A request waits for a routing table or an available upstream for at most
// this fraction (1/n) of the caller's time limit, up to the maximum.
constexpr int kPatienceShare = 3;
constexpr duration kLongestPatience = std::chrono::milliseconds(1000);
// Interval at which a request without an available upstream tries again.
constexpr duration kUpstreamLook = std::chrono::milliseconds(100);

duration PatienceOf(const std::optional<duration>& time_left) {
  return std::min(time_left.value_or(kLongestPatience) / kPatienceShare,
                  kLongestPatience);
}

bool IsRefusal(end_reason reason) {
  return reason == end_reason::kBetterPlace ||
         reason == end_reason::kCannotMeetDeadline;
}

std::string_view ReasonName(end_reason reason) {
  switch (reason) {
    case end_reason::kBetterPlace:
      return "the upstream cannot meet the objective";
    case end_reason::kCannotMeetDeadline:
      return "the upstream cannot meet the deadline";
    case end_reason::kDraining:
      return "the upstream is draining";
    case end_reason::kNoUpstream:
      return "the upstream cannot be reached";
    case end_reason::kUpstreamRefused:
      return "the upstream rejected the call";
    case end_reason::kUpstreamLost:
      return "the upstream's answer was lost";
    case end_reason::kWrongIncarnation:
      return "the upstream was replaced";
    case end_reason::kDeadlinePassed:
      return "the deadline passed";
    case end_reason::kCancelled:
      return "the caller went away";
    case end_reason::kTooLarge:
      return "the body or answer is too large";
    default:
      return "other";
  }
}

}  // namespace

// State of one request while it is being routed.
struct routed_ingress::routed_call {
  const http_request& request;
  cancel_source& caller_gone;
  std::string caller_id;  // Request id that the caller chose.
  std::string route_name;
  const route* definition = nullptr;
  std::string service;
  std::vector<header_field> headers;
  time_point started;
  time_point patient_until;  // End of the wait for an available upstream.
  time_point deadline;
  time_point objective_at;
  std::vector<upstream_id> tried;
  std::vector<upstream_id> refused_late;
  std::uint32_t reached = 0;   // Attempts that may have run.
  std::uint32_t arrivals = 0;  // Attempts that reached an upstream.
};

struct routed_ingress::attempt_choice {
  upstream_id upstream;
  endpoint address;
  std::string instance;
  double wait_share = 0;
  bool settles = false;
};

routed_ingress::routed_ingress(io_loop& loop, const clock_source& clock,
                               random_source& random, event_log& log,
                               const process_identity& self,
                               std::string availability_zone,
                               const platform_codec& codec,
                               fleet_directory& directory, call_service& local,
                               const ingress_options& options)
    : loop_(loop),
      clock_(clock),
      random_(random),
      log_(log),
      self_(self),
      availability_zone_(std::move(availability_zone)),
      codec_(codec),
      directory_(directory),
      local_(local),
      options_(options),
      parts_(random) {}

routed_ingress::~routed_ingress() = default;

void routed_ingress::Start(fiber_group& fibers) { fibers_ = &fibers; }

void routed_ingress::Stop() {
  for (const auto& link : links_ | std::views::values) link->Stop();
}

http_response routed_ingress::Handle(const http_request& request,
                                     cancel_source& caller_gone) {
  caller_statement asked = codec_.ReadCaller(request);
  const time_point arrived = clock_.Now();
  const auto table = WaitForTable(arrived + PatienceOf(asked.time_left));
  if (!table) {
    return codec_.WriteFailure(
        {.kind = failure_kind::kNotReady,
         .retry_after = asked.time_left.value_or(kLongestPatience) / 3,
         .reason = "no routing table is known yet"},
        asked.id);
  }
  const named_route* found = table->Match(asked.host, request.target);
  if (found == nullptr) {
    return codec_.WriteFailure({.kind = failure_kind::kNoRoute,
                                .reason = "no route matches the request"},
                               asked.id);
  }
  const route& definition = *found->definition;
  routed_call call{.request = request,
                   .caller_gone = caller_gone,
                   .caller_id = std::move(asked.id),
                   .route_name = found->name,
                   .definition = &definition,
                   .started = arrived,
                   .patient_until = arrived + PatienceOf(asked.time_left)};
  const duration timeout = std::chrono::microseconds(definition.timeout_us);
  call.deadline =
      call.started + std::min(asked.time_left.value_or(timeout), timeout);
  call.objective_at = std::min(
      call.deadline, call.started + ObjectiveLeft(found->name,
                                                  std::chrono::microseconds(
                                                      definition.objective_us),
                                                  asked.time_left));
  call.service = parts_.Next(found->name, definition);
  call.headers = codec_.MakeForwardedFields(request, own_service_);
  Repeats(call.service).RecordCall();
  return Run(call);
}

// Returns the part of the route's objective that is left for a request. A
// caller that returns after a rejection has already spent a part of its time:
// the difference between the largest time limit seen on the route and
// `time_left`.
duration routed_ingress::ObjectiveLeft(
    const std::string& route, duration objective,
    const std::optional<duration>& time_left) {
  if (!time_left) return objective;
  duration& longest = habits_[route].longest_left;
  longest = std::max(longest, *time_left);
  return objective - (longest - *time_left);
}

http_response routed_ingress::Run(routed_call& call) {
  end_reason last = end_reason::kNoUpstream;
  while (!call.caller_gone.IsCancelled()) {
    if (clock_.Now() >= call.deadline) {
      return call.reached > 0
                 ? Fail(call, failure_kind::kTooLate, ReasonName(last))
                 : Fail(call, failure_kind::kRejected, ReasonName(last));
    }
    const auto choice = Choose(call);
    if (!choice) {
      if (WaitForUpstream(call)) continue;
      return Fail(call, failure_kind::kRejected, ReasonName(last));
    }
    call_result ended = Dispatch(call, *choice);
    RecordEnd(call, *choice, ended);
    last = ended.end.reason;
    if (ended.end.fate == outcome::kAnswered) {
      double& bytes = habits_[call.route_name].bytes;
      const auto moved =
          static_cast<double>(call.request.body.size() + ended.body.size());
      bytes += bytes > 0 ? kBytesWeight * (moved - bytes) : moved;
      const bool is_plain =
          call.tried.empty() && clock_.Now() <= call.objective_at;
      route_counts& counts = counts_[call.route_name];
      ++(is_plain ? counts.answered : counts.others);
      if (!is_plain) {
        log_.Write(event_id::kRequestEnded,
                   {{"request", call.caller_id},
                    {"route", call.route_name},
                    {"outcome", "answered"},
                    {"status", ended.end.status},
                    {"upstream", choice->upstream.node},
                    {"tried", call.tried.size()},
                    {"refused", call.refused_late.size()},
                    {"ran_ms", ended.end.service_time_us / 1000},
                    {"ms", (clock_.Now() - call.started).count() / 1000}});
      }
      return {.status = ended.end.status,
              .headers = std::move(ended.end.headers),
              .body = std::move(ended.body)};
    }
    LogMiss(call, *choice, ended);
    if (ended.end.fate == outcome::kNotRun && IsRefusal(last)) {
      if (choice->settles) {
        return Fail(call, failure_kind::kRejected, ReasonName(last));
      }
      call.refused_late.push_back(choice->upstream);
      continue;
    }
    call.tried.push_back(choice->upstream);
    if (!MayRepeat(call, ended)) {
      if (ended.end.fate == outcome::kNotRun && call.reached == 0) {
        return Fail(call, failure_kind::kRejected, ReasonName(last));
      }
      return Fail(call,
                  last == end_reason::kDeadlinePassed ? failure_kind::kTooLate
                                                      : failure_kind::kUnknown,
                  ReasonName(last));
    }
  }
  return Fail(
      call, call.reached > 0 ? failure_kind::kUnknown : failure_kind::kRejected,
      "the caller went away");
}

// Waits for the routing table until `deadline`; returns null when none arrives.
// After a restart the table arrives shortly, so waiting for it serves the
// caller sooner than a rejection and another attempt.
std::shared_ptr<const routing_snapshot> routed_ingress::WaitForTable(
    time_point deadline) {
  while (!directory_.Table() && clock_.Now() < deadline) {
    directory_.WaitForChange(deadline);
  }
  return directory_.Table();
}

// Waits until an upstream of the service may have become reachable. Returns
// true when the caller should choose again.
bool routed_ingress::WaitForUpstream(routed_call& call) {
  const bool may_wait = call.reached == 0 && call.refused_late.empty() &&
                        clock_.Now() < call.patient_until &&
                        !call.caller_gone.IsCancelled();
  if (!may_wait) return false;
  call.tried.clear();
  directory_.WaitForChange(
      std::min(clock_.Now() + kUpstreamLook, call.patient_until));
  return true;
}

http_response routed_ingress::Fail(const routed_call& call, failure_kind kind,
                                   std::string_view reason) {
  const time_point now = clock_.Now();
  ++counts_[call.route_name].others;
  call_failure failure{.kind = kind, .reason = reason};
  if (kind == failure_kind::kRejected) {
    failure.retry_after = ReturnAfter(LeastWait(call), call.deadline - now,
                                      random_, options_.returns);
  }
  log_.Write(event_id::kRequestEnded,
             {{"request", call.caller_id},
              {"route", call.route_name},
              {"outcome", kind == failure_kind::kRejected  ? "rejected"
                          : kind == failure_kind::kTooLate ? "too late"
                                                           : "unknown"},
              {"reason", reason},
              {"tried", call.tried.size()},
              {"refused", call.refused_late.size()},
              {"left_ms", (call.deadline - now).count() / 1000},
              {"objective_left_ms", (call.objective_at - now).count() / 1000},
              {"retry_ms", failure.retry_after.count() / 1000},
              {"ms", (now - call.started).count() / 1000}});
  return codec_.WriteFailure(failure, call.caller_id);
}

std::optional<routed_ingress::attempt_choice> routed_ingress::Choose(
    const routed_call& call) {
  const time_point now = clock_.Now();
  const auto is_in = [](const std::vector<upstream_id>& ids,
                        const upstream_id& id) {
    return std::ranges::find(ids, id) != ids.end();
  };
  std::vector<const fleet_member*> open;
  std::vector<const fleet_member*> late;
  std::vector<const fleet_member*> avoided;
  for (const fleet_member& each : directory_.Members(call.service)) {
    const upstream_id id = each.Id();
    if (each.lease.draining || is_in(call.tried, id)) continue;
    if (is_in(call.refused_late, id)) {
      late.push_back(&each);
    } else if (each.avoid_until > now) {
      avoided.push_back(&each);
    } else {
      open.push_back(&each);
    }
  }
  if (open.empty() && late.empty()) open = avoided;
  const bool settles = open.empty() || open.size() + late.size() == 1 ||
                       call.refused_late.size() >= kMostRefusals;
  if (settles && !late.empty()) open = late;
  std::vector<near_candidate> candidates;
  std::ranges::transform(
      open, std::back_inserter(candidates), [&](const fleet_member* each) {
        const bool near = each->lease.availability_zone == availability_zone_;
        return near_candidate{.near = near,
                              .report = each->report,
                              .reported = each->reported,
                              .report_age = now - each->reported_at,
                              .own_since = each->own_since,
                              .crossing = near ? duration(0) : kCrossing};
      });
  const double bytes = habits_[call.route_name].bytes;
  const auto chosen =
      ChooseNearFirst(candidates, call.objective_at - now, bytes,
                      random_.Next(), options_.placement);
  if (!chosen) return std::nullopt;
  const fleet_member& member = *open[*chosen];
  return attempt_choice{
      .upstream = member.Id(),
      .address = member.address,
      .instance = member.lease.instance,
      .wait_share = candidates[*chosen].near
                        ? NearWaitShare(bytes, options_.placement)
                        : options_.placement.far_wait_share,
      .settles = settles};
}

call_result routed_ingress::Dispatch(const routed_call& call,
                                     const attempt_choice& choice) {
  const time_point now = clock_.Now();
  const call_start start{.id = request_id::MakeRandom(random_),
                         .service = call.service,
                         .method = call.request.method,
                         .target = call.request.target,
                         .headers = call.headers,
                         .body_size = call.request.body.size(),
                         .deadline_us = ToMicroseconds(call.deadline - now),
                         .incarnation = choice.upstream.incarnation,
                         .instance = choice.instance,
                         .route = call.route_name,
                         .priority = call.definition->priority,
                         .objective_us = (call.objective_at - now).count(),
                         .wait_percent = static_cast<std::uint32_t>(
                             kWholePercent * choice.wait_share),
                         .settles = choice.settles,
                         .idempotent = call.definition->idempotent};
  if (fleet_member* member = directory_.Find(call.service, choice.upstream)) {
    ++member->own_since;
  }
  const bool is_local = choice.upstream.node == self_.name &&
                        choice.upstream.incarnation == self_.incarnation;
  return is_local ? DispatchLocal(start, call)
                  : Link(choice.address)
                        .Call(start, call.request.body, call.deadline,
                              call.caller_gone);
}

call_result routed_ingress::DispatchLocal(const call_start& start,
                                          const routed_call& call) {
  inbound_call inbound{.start = start,
                       .body = call.request.body,
                       .ingress = self_.name,
                       .deadline = call.deadline};
  const cancel_registration registration(call.caller_gone,
                                         [&] { inbound.cancel.Cancel(); });
  served_call served = local_.Serve(inbound);
  return {.end = std::move(served.end),
          .body = std::move(served.body),
          .sent = true};
}

// The logged load is the one that the serving node reported with its answer,
// on which it based a rejection.
void routed_ingress::LogMiss(const routed_call& call,
                             const attempt_choice& choice,
                             const call_result& ended) {
  const load_report& load = ended.end.load;
  log_.Write(
      event_id::kCallRerouted,
      {{"request", call.caller_id},
       {"service", call.service},
       {"from", choice.upstream.node},
       {"instance", choice.instance},
       {"fate", ended.end.fate == outcome::kNotRun ? "not run" : "unknown"},
       {"reason", ReasonName(ended.end.reason)},
       {"settles", choice.settles},
       {"running", load.running_short},
       {"queued", load.queued_short},
       {"limit", load.slot_limit},
       {"usual_ms", load.service_time_short_us / 1000},
       {"slowdown_percent", load.slowdown_percent}});
}

void routed_ingress::RecordEnd(const routed_call& call,
                               const attempt_choice& choice,
                               const call_result& ended) {
  fleet_member* member = directory_.Find(call.service, choice.upstream);
  if (member == nullptr) return;
  if (member->own_since > 0) --member->own_since;
  const load_report& load = ended.end.load;
  const time_point now = clock_.Now();
  if (load.incarnation == choice.upstream.incarnation &&
      load.sequence > member->report.sequence) {
    member->report = load;
    member->reported = true;
    member->reported_at = now;
  }
  const bool missed = ended.end.reason == end_reason::kNoUpstream ||
                      ended.end.reason == end_reason::kWrongIncarnation ||
                      ended.end.reason == end_reason::kDraining;
  if (!missed) {
    member->misses = 0;
    return;
  }
  member->misses = std::min(member->misses + 1, 6U);
  member->avoid_until =
      now + std::min(kFirstAvoidance * (1U << (member->misses - 1)),
                     kLongestAvoidance);
}

bool routed_ingress::MayRepeat(routed_call& call, const call_result& ended) {
  const bool is_unknown = ended.end.fate == outcome::kUnknown;
  const end_reason reason = ended.end.reason;
  if (call.caller_gone.IsCancelled()) return false;
  if (is_unknown) ++call.reached;
  if (reason == end_reason::kDeadlinePassed ||
      reason == end_reason::kTooLarge) {
    return false;
  }
  const bool arrived = is_unknown || reason == end_reason::kUpstreamRefused;
  if (arrived) ++call.arrivals;
  if (is_unknown && !call.definition->idempotent) return false;
  if (call.reached >= call.definition->most_attempts) return false;
  // The budget limits repeated attempts at upstreams, so an attempt that
  // reached no upstream costs nothing.
  return call.arrivals == 0 || !arrived || Repeats(call.service).TrySpend();
}

duration routed_ingress::LeastWait(const routed_call& call) {
  const time_point now = clock_.Now();
  duration least = duration::max();
  for (const fleet_member& each : directory_.Members(call.service)) {
    if (each.lease.draining) continue;
    const near_candidate seen{.report = each.report,
                              .reported = each.reported,
                              .report_age = now - each.reported_at,
                              .own_since = each.own_since};
    least = std::min(least, BacklogAt(seen, options_.placement));
  }
  return least == duration::max() ? kLongestPatience : least;
}

call_budget& routed_ingress::Repeats(const std::string& service) {
  // Nodes that are no longer visible may still spend their share of the budget,
  // so the share is computed from the largest number of nodes seen.
  most_nodes_ = std::max(most_nodes_, directory_.NodeCount());
  const std::uint32_t burst = ShareOfBurst(
      options_.repeats.burst, options_.most_burst_each, most_nodes_);
  const call_budget_options own{.per_mille = options_.repeats.per_mille,
                                .burst = burst};
  call_budget& budget = repeats_.try_emplace(service, own).first->second;
  budget.SetBurst(burst);
  return budget;
}

call_link& routed_ingress::Link(const endpoint& address) {
  auto& link = links_[address.ToString()];
  if (!link) {
    link = std::make_unique<call_link>(loop_, clock_, log_, self_, address,
                                       connection_purpose::kShortCalls,
                                       options_.link);
    link->Start(*fibers_);
  }
  return *link;
}

void routed_ingress::LogCounts() {
  for (auto& [name, counts] : counts_) {
    if (counts.answered + counts.others == 0) continue;
    log_.Write(event_id::kRequestsServed, {{"route", name},
                                           {"answered", counts.answered},
                                           {"others", counts.others}});
    counts = {};
  }
}

}  // namespace hornbeam
