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

// After this many rejections a request goes back to the rejecting upstream with
// the shortest expected wait, marked as having no alternative: that upstream
// queues it even if it will miss its objective.
constexpr std::size_t kMaxRejections = 3;
// Backoff for an upstream that could not be reached; doubles with each further
// failure up to the maximum.
constexpr duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr duration kMaxBackoff = std::chrono::seconds(4);
// Assumed cross-zone round trip.
constexpr duration kCrossZoneRoundTrip = std::chrono::milliseconds(4);
// Weight of one request in the moving average of its route's bytes.
constexpr double kRouteBytesEwmaWeight = 0.1;
constexpr double kWholePercent = 100;
// A request waits for a routing table or an available upstream for at most
// this fraction (1/n) of the caller's time limit, up to the maximum.
constexpr int kMaxWaitDivisor = 3;
constexpr duration kMaxWait = std::chrono::milliseconds(1000);
// Interval at which a request without an available upstream tries again.
constexpr duration kUpstreamRetryInterval = std::chrono::milliseconds(100);

duration MaxWait(const std::optional<duration>& time_left) {
  return std::min(time_left.value_or(kMaxWait) / kMaxWaitDivisor, kMaxWait);
}

bool IsRejection(end_reason reason) {
  return reason == end_reason::kTryAnotherNode ||
         reason == end_reason::kCannotMeetDeadline;
}

std::string_view ReasonText(end_reason reason) {
  switch (reason) {
    case end_reason::kTryAnotherNode:
      return "late at the upstream";
    case end_reason::kCannotMeetDeadline:
      return "no room by the deadline";
    case end_reason::kDraining:
      return "the upstream drains";
    case end_reason::kNoUpstream:
      return "the upstream cannot be reached";
    case end_reason::kRejectedByUpstream:
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
    case end_reason::kForgotten:
      return "the answer is no longer kept";
    default:
      return "other";
  }
}

}  // namespace

// State of one request while it is being routed.
struct routed_ingress::routed_call {
  const http_request& request;
  cancel_source& caller_disconnected;
  std::string caller_id;  // Request id that the caller chose.
  std::string route_name;
  const route* definition = nullptr;
  std::string service;
  std::vector<header_field> headers;
  time_point started;
  time_point wait_until;  // End of the wait for an available upstream.
  time_point deadline;
  time_point objective_at;
  std::vector<upstream_id> tried;
  std::vector<upstream_id> rejected_by;
  std::uint32_t possibly_ran = 0;  // Attempts that may have run.
  std::uint32_t delivered = 0;     // Attempts that reached an upstream.
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
      service_choice_(random) {}

routed_ingress::~routed_ingress() = default;

void routed_ingress::Start(fiber_group& fibers) { fibers_ = &fibers; }

void routed_ingress::Stop() {
  for (const auto& link : links_ | std::views::values) link->Stop();
}

http_response routed_ingress::Handle(const http_request& request,
                                     cancel_source& caller_disconnected) {
  caller_info caller = codec_.ReadCaller(request);
  const time_point arrived = clock_.Now();
  const auto table = WaitForTable(arrived + MaxWait(caller.time_left));
  if (!table) {
    return codec_.WriteFailure(
        {.kind = failure_kind::kNotReady,
         .retry_after = caller.time_left.value_or(kMaxWait) / 3,
         .reason = "no routing table is known yet"},
        caller.id);
  }
  const named_route* found = table->Match(caller.host, request.target);
  if (found == nullptr) {
    return codec_.WriteFailure(
        {.kind = failure_kind::kNoRoute, .reason = "no such route"}, caller.id);
  }
  const route& definition = *found->definition;
  routed_call call{.request = request,
                   .caller_disconnected = caller_disconnected,
                   .caller_id = std::move(caller.id),
                   .route_name = found->name,
                   .definition = &definition,
                   .started = arrived,
                   .wait_until = arrived + MaxWait(caller.time_left)};
  const duration timeout = std::chrono::microseconds(definition.timeout_us);
  call.deadline =
      call.started + std::min(caller.time_left.value_or(timeout), timeout);
  call.objective_at = std::min(
      call.deadline,
      call.started +
          RemainingObjective(found->name,
                             std::chrono::microseconds(definition.objective_us),
                             caller.time_left));
  call.service = service_choice_.Next(found->name, definition);
  call.headers = codec_.MakeForwardedFields(request, own_service_);
  RetryBudget(call.service).RecordCall();
  return call.deadline > stop_at_ ? RejectWhileDraining(call) : Run(call);
}

// Returns the part of the route's objective that is left for a request. A
// caller that returns after a rejection has already spent a part of its time:
// the difference between the largest time limit seen on the route and
// `time_left`.
duration routed_ingress::RemainingObjective(
    const std::string& route, duration objective,
    const std::optional<duration>& time_left) {
  if (!time_left) return objective;
  duration& max_time_left = statistics_[route].max_time_left;
  max_time_left = std::max(max_time_left, *time_left);
  return objective - (max_time_left - *time_left);
}

http_response routed_ingress::Run(routed_call& call) {
  end_reason last_reason = end_reason::kNoUpstream;
  while (!call.caller_disconnected.IsCancelled()) {
    if (clock_.Now() >= call.deadline) {
      return call.possibly_ran > 0
                 ? Fail(call, failure_kind::kDeadlineExceeded, last_reason)
                 : Fail(call, failure_kind::kRejected, last_reason);
    }
    const auto choice = ChooseUpstream(call);
    if (!choice) {
      if (WaitForUpstream(call)) continue;
      return Fail(call, failure_kind::kRejected, last_reason);
    }
    call_result reply = Dispatch(call, *choice);
    RecordResult(call, *choice, reply);
    last_reason = reply.end.reason;
    if (reply.end.call_outcome == outcome::kAnswered) {
      double& mean_bytes = statistics_[call.route_name].mean_bytes;
      const auto transferred =
          static_cast<double>(call.request.body.size() + reply.body.size());
      mean_bytes += mean_bytes > 0
                        ? kRouteBytesEwmaWeight * (transferred - mean_bytes)
                        : transferred;
      const bool is_regular =
          call.tried.empty() && clock_.Now() <= call.objective_at;
      route_counts& counts = counts_[call.route_name];
      ++(is_regular ? counts.answered : counts.others);
      if (!is_regular) {
        log_.Write(event_id::kRequestEnded,
                   {{"request", call.caller_id},
                    {"route", call.route_name},
                    {"outcome", "answered"},
                    {"status", reply.end.status},
                    {"upstream", choice->upstream.node},
                    {"tried", call.tried.size()},
                    {"refused", call.rejected_by.size()},
                    {"ran_ms", reply.end.service_time_us / 1000},
                    {"ms", (clock_.Now() - call.started).count() / 1000}});
      }
      return {.status = reply.end.status,
              .headers = std::move(reply.end.headers),
              .body = std::move(reply.body)};
    }
    LogFailedAttempt(call, *choice, reply);
    if (reply.end.call_outcome == outcome::kNotRun &&
        IsRejection(last_reason)) {
      if (choice->no_alternative) {
        return Fail(call, failure_kind::kRejected, last_reason);
      }
      call.rejected_by.push_back(choice->upstream);
      continue;
    }
    call.tried.push_back(choice->upstream);
    if (!MayRetry(call, reply)) {
      if (reply.end.call_outcome == outcome::kNotRun &&
          call.possibly_ran == 0) {
        return Fail(call, failure_kind::kRejected, last_reason);
      }
      return Fail(call,
                  last_reason == end_reason::kDeadlinePassed
                      ? failure_kind::kDeadlineExceeded
                      : failure_kind::kUnknown,
                  last_reason);
    }
  }
  return Fail(
      call,
      call.possibly_ran > 0 ? failure_kind::kUnknown : failure_kind::kRejected,
      end_reason::kCancelled);
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
// true when the request should choose an upstream again, and false at once when
// it may have run, was rejected or has no time left to wait.
bool routed_ingress::WaitForUpstream(routed_call& call) {
  const bool may_wait = call.possibly_ran == 0 && call.rejected_by.empty() &&
                        clock_.Now() < call.wait_until &&
                        !call.caller_disconnected.IsCancelled();
  if (!may_wait) return false;
  call.tried.clear();
  directory_.WaitForChange(
      std::min(clock_.Now() + kUpstreamRetryInterval, call.wait_until));
  return true;
}

http_response routed_ingress::Fail(const routed_call& call, failure_kind kind,
                                   end_reason reason) {
  call_failure failure{.kind = kind, .reason = ReasonText(reason)};
  if (kind == failure_kind::kRejected) {
    failure.retry_after = RetryAfter(
        MinWait(call), call.deadline - clock_.Now(), random_,
        options_.retry_pacing, reason == end_reason::kRejectedByUpstream);
  }
  return AnswerFailure(call, failure);
}

http_response routed_ingress::RejectWhileDraining(const routed_call& call) {
  return AnswerFailure(call,
                       {.kind = failure_kind::kRejected,
                        .retry_after = MaxWait(call.deadline - clock_.Now()),
                        .reason = "this node stops before the deadline"});
}

http_response routed_ingress::AnswerFailure(const routed_call& call,
                                            const call_failure& failure) {
  const time_point now = clock_.Now();
  ++counts_[call.route_name].others;
  log_.Write(event_id::kRequestEnded,
             {{"request", call.caller_id},
              {"route", call.route_name},
              {"outcome", failure.kind == failure_kind::kRejected ? "rejected"
                          : failure.kind == failure_kind::kDeadlineExceeded
                              ? "too late"
                              : "unknown"},
              {"reason", failure.reason},
              {"tried", call.tried.size()},
              {"refused", call.rejected_by.size()},
              {"left_ms", (call.deadline - now).count() / 1000},
              {"objective_left_ms", (call.objective_at - now).count() / 1000},
              {"retry_ms", failure.retry_after.count() / 1000},
              {"ms", (now - call.started).count() / 1000}});
  return codec_.WriteFailure(failure, call.caller_id);
}

std::optional<routed_ingress::attempt_choice> routed_ingress::ChooseUpstream(
    const routed_call& call) {
  const time_point now = clock_.Now();
  const auto contains = [](const std::vector<upstream_id>& ids,
                           const upstream_id& id) {
    return std::ranges::find(ids, id) != ids.end();
  };
  std::vector<const fleet_member*> available;
  std::vector<const fleet_member*> rejecting;
  std::vector<const fleet_member*> avoided;
  for (const fleet_member& each : directory_.Members(call.service)) {
    const upstream_id id = each.Id();
    if (each.lease.draining || contains(call.tried, id)) continue;
    if (contains(call.rejected_by, id)) {
      rejecting.push_back(&each);
    } else if (each.avoid_until > now) {
      avoided.push_back(&each);
    } else {
      available.push_back(&each);
    }
  }
  if (available.empty() && rejecting.empty()) available = avoided;
  const bool no_alternative = available.empty() ||
                              available.size() + rejecting.size() == 1 ||
                              call.rejected_by.size() >= kMaxRejections;
  if (no_alternative && !rejecting.empty()) available = rejecting;
  std::vector<zone_candidate> candidates;
  std::ranges::transform(
      available, std::back_inserter(candidates), [&](const fleet_member* each) {
        const bool same_zone =
            each->lease.availability_zone == availability_zone_;
        return zone_candidate{
            .same_zone = same_zone,
            .report = each->report,
            .reported = each->reported,
            .report_age = now - each->reported_at,
            .dispatched_since_report = each->dispatched_since_report,
            .cross_zone_round_trip =
                same_zone ? duration(0) : kCrossZoneRoundTrip};
      });
  const double bytes = statistics_[call.route_name].mean_bytes;
  const auto chosen =
      SelectZoneAware(candidates, call.objective_at - now, bytes,
                      random_.Next(), options_.placement);
  if (!chosen) return std::nullopt;
  const fleet_member& member = *available[*chosen];
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
                              call.caller_disconnected);
}

call_result routed_ingress::DispatchLocal(const call_start& start,
                                          const routed_call& call) {
  inbound_call inbound{.start = start,
                       .body = call.request.body,
                       .ingress = self_.name,
                       .deadline = call.deadline};
  const cancel_registration registration(call.caller_disconnected,
                                         [&] { inbound.cancel.Cancel(); });
  served_call served = local_.Serve(inbound);
  return {.end = std::move(served.end),
          .body = std::move(served.body),
          .sent = true};
}

// Logs the load that the serving node reported with its reply, because the node
// bases its rejections on that load.
void routed_ingress::LogFailedAttempt(const routed_call& call,
                                      const attempt_choice& choice,
                                      const call_result& reply) {
  const load_report& load = reply.end.load;
  log_.Write(event_id::kCallRerouted,
             {{"request", call.caller_id},
              {"service", call.service},
              {"from", choice.upstream.node},
              {"instance", choice.instance},
              {"fate", reply.end.call_outcome == outcome::kNotRun ? "not run"
                                                                  : "unknown"},
              {"reason", ReasonText(reply.end.reason)},
              {"settles", choice.no_alternative},
              {"running", load.running_short},
              {"queued", load.queued_short},
              {"limit", load.slot_limit},
              {"usual_ms", load.service_time_short_us / 1000},
              {"slowdown_percent", load.slowdown_percent}});
}

void routed_ingress::RecordResult(const routed_call& call,
                                  const attempt_choice& choice,
                                  const call_result& reply) {
  fleet_member* member = directory_.Find(call.service, choice.upstream);
  if (member == nullptr) return;
  if (member->dispatched_since_report > 0) --member->dispatched_since_report;
  const load_report& load = reply.end.load;
  const time_point now = clock_.Now();
  if (load.incarnation == choice.upstream.incarnation &&
      load.sequence > member->report.sequence) {
    member->report = load;
    member->reported = true;
    member->reported_at = now;
  }
  const bool is_unavailable =
      reply.end.reason == end_reason::kNoUpstream ||
      reply.end.reason == end_reason::kWrongIncarnation ||
      reply.end.reason == end_reason::kDraining;
  if (!is_unavailable) {
    member->consecutive_failures = 0;
    return;
  }
  member->consecutive_failures = std::min(member->consecutive_failures + 1, 6U);
  member->avoid_until =
      now +
      std::min(kInitialBackoff * (1U << (member->consecutive_failures - 1)),
               kMaxBackoff);
}

bool routed_ingress::MayRetry(routed_call& call, const call_result& reply) {
  const bool is_unknown = reply.end.call_outcome == outcome::kUnknown;
  const end_reason reason = reply.end.reason;
  if (call.caller_disconnected.IsCancelled()) return false;
  if (is_unknown) ++call.possibly_ran;
  if (reason == end_reason::kDeadlinePassed ||
      reason == end_reason::kTooLarge) {
    return false;
  }
  const bool arrived = is_unknown || reason == end_reason::kRejectedByUpstream;
  if (arrived) ++call.delivered;
  if (is_unknown && !call.definition->idempotent) return false;
  if (call.possibly_ran >= call.definition->max_attempts) return false;
  // The budget limits repeated attempts at upstreams, so an attempt that
  // reached no upstream costs nothing.
  return call.delivered == 0 || !arrived ||
         RetryBudget(call.service).TrySpend();
}

duration routed_ingress::MinWait(const routed_call& call) {
  const time_point now = clock_.Now();
  duration min_wait = duration::max();
  for (const fleet_member& each : directory_.Members(call.service)) {
    if (each.lease.draining) continue;
    const zone_candidate candidate{
        .report = each.report,
        .reported = each.reported,
        .report_age = now - each.reported_at,
        .dispatched_since_report = each.dispatched_since_report};
    min_wait = std::min(min_wait, BacklogAt(candidate, options_.placement));
  }
  return min_wait == duration::max() ? kMaxWait : min_wait;
}

call_budget& routed_ingress::RetryBudget(const std::string& service) {
  // Nodes that are no longer visible may still spend their share of the budget,
  // so the share is computed from the largest number of nodes seen.
  max_known_nodes_ = std::max(max_known_nodes_, directory_.NodeCount());
  const std::uint32_t burst = BurstPerNode(
      options_.retries.burst, options_.max_burst_per_node, max_known_nodes_);
  const call_budget_options budget_options{
      .per_mille = options_.retries.per_mille, .burst = burst};
  call_budget& budget =
      retry_budgets_.try_emplace(service, budget_options).first->second;
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
