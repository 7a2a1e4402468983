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

// Refusals of other nodes that one request collects before it settles for the
// place with the least wait.
constexpr std::size_t kMostRefusals = 3;
// A node that could not be reached is passed over for so long, doubled with
// each further miss up to the longest.
constexpr duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr duration kLongestAvoidance = std::chrono::seconds(4);
// What a hop to another zone costs a call, there and back, until measured.
constexpr duration kCrossing = std::chrono::milliseconds(4);
// Weight of one request in the usual bytes of its route.
constexpr double kBytesWeight = 0.1;
constexpr double kWholePercent = 100;
// A request waits for a routing table or an upstream to turn up for at most
// this share of the caller's time, and for no longer than this.
constexpr int kPatienceShare = 3;
constexpr duration kLongestPatience = std::chrono::milliseconds(1000);
// Between two looks for an upstream.
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
      return "late at the upstream";
    case end_reason::kCannotMeetDeadline:
      return "no room by the deadline";
    case end_reason::kDraining:
      return "the upstream drains";
    case end_reason::kNoUpstream:
      return "the upstream cannot be reached";
    case end_reason::kUpstreamRefused:
      return "the upstream refused";
    case end_reason::kUpstreamLost:
      return "the upstream's answer was lost";
    case end_reason::kWrongIncarnation:
      return "the upstream was replaced";
    case end_reason::kDeadlinePassed:
      return "the deadline passed";
    case end_reason::kCancelled:
      return "the caller went away";
    case end_reason::kTooLarge:
      return "too large";
    default:
      return "other";
  }
}

}  // namespace

// One request on its way.
struct routed_ingress::routed_call {
  const http_request& request;
  cancel_source& caller_gone;
  std::string caller_id;  // The caller's own id of the request.
  std::string route_name;
  const route* definition = nullptr;
  std::string service;
  std::vector<header_field> headers;
  time_point started;
  time_point patient_until;  // An upstream may still turn up until then.
  time_point deadline;
  time_point objective_at;
  std::vector<upstream_id> tried;
  std::vector<upstream_id> refused_late;
  std::uint32_t reached = 0;   // Upstreams that it may have run at.
  std::uint32_t arrivals = 0;  // Dispatches that got to an upstream.
};

struct routed_ingress::attempt_choice {
  upstream_id upstream;
  endpoint address;
  std::string instance;
  double wait_share = 0;
  bool no_alternative = false;
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
    return codec_.WriteFailure(
        {.kind = failure_kind::kNoRoute, .reason = "no such route"}, asked.id);
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

// A caller that returns after a rejection has spent a part of its time already:
// the longest time that callers of a route give tells how much.
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
      if (choice->no_alternative) {
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

// After a restart the table comes within moments: waiting for it serves the
// caller sooner than another try.
std::shared_ptr<const routing_snapshot> routed_ingress::WaitForTable(
    time_point deadline) {
  while (!directory_.Table() && clock_.Now() < deadline) {
    directory_.WaitForChange(deadline);
  }
  return directory_.Table();
}

// While none of the service's upstreams can be reached, one may come back; true
// when it is worth another look.
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
    failure.retry_after = RetryAfter(LeastWait(call), call.deadline - now,
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
  const bool no_alternative = open.empty() || open.size() + late.size() == 1 ||
                              call.refused_late.size() >= kMostRefusals;
  if (no_alternative && !late.empty()) open = late;
  std::vector<zone_candidate> candidates;
  std::ranges::transform(
      open, std::back_inserter(candidates), [&](const fleet_member* each) {
        const bool same_zone =
            each->lease.availability_zone == availability_zone_;
        return zone_candidate{
            .same_zone = same_zone,
            .report = each->report,
            .reported = each->reported,
            .report_age = now - each->reported_at,
            .dispatched_since_report = each->dispatched_since_report,
            .cross_zone_round_trip = same_zone ? duration(0) : kCrossing};
      });
  const double bytes = habits_[call.route_name].bytes;
  const auto chosen =
      SelectZoneAware(candidates, call.objective_at - now, bytes,
                      random_.Next(), options_.placement);
  if (!chosen) return std::nullopt;
  const fleet_member& member = *open[*chosen];
  return attempt_choice{
      .upstream = member.Id(),
      .address = member.address,
      .instance = member.lease.instance,
      .wait_share = candidates[*chosen].same_zone
                        ? SameZoneWaitShare(bytes, options_.placement)
                        : options_.placement.other_zone_wait_share,
      .no_alternative = no_alternative};
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
                         .no_alternative = choice.no_alternative,
                         .idempotent = call.definition->idempotent};
  if (fleet_member* member = directory_.Find(call.service, choice.upstream)) {
    ++member->dispatched_since_report;
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

// What the serving node said of its load with its refusal decided it there.
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
       {"settles", choice.no_alternative},
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
  if (member->dispatched_since_report > 0) --member->dispatched_since_report;
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
  if (call.reached >= call.definition->max_attempts) return false;
  // Only a dispatch that got to an upstream makes the next one a repeat there.
  return call.arrivals == 0 || !arrived || Repeats(call.service).TrySpend();
}

duration routed_ingress::LeastWait(const routed_call& call) {
  const time_point now = clock_.Now();
  duration least = duration::max();
  for (const fleet_member& each : directory_.Members(call.service)) {
    if (each.lease.draining) continue;
    const zone_candidate seen{
        .report = each.report,
        .reported = each.reported,
        .report_age = now - each.reported_at,
        .dispatched_since_report = each.dispatched_since_report};
    least = std::min(least, BacklogAt(seen, options_.placement));
  }
  return least == duration::max() ? kLongestPatience : least;
}

call_budget& routed_ingress::Repeats(const std::string& service) {
  // Nodes that are out of sight spend all the same.
  most_nodes_ = std::max(most_nodes_, directory_.NodeCount());
  const std::uint32_t burst = BurstPerNode(
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
