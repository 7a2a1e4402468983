#include "controllers/call_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "base/event_log.h"
#include "base/microseconds.h"
#include "hornbeam/random_source.h"
#include "io/cancel_source.h"
#include "io/fiber_group.h"
#include "io/fiber_signal.h"
#include "io/io_loop.h"
#include "wire/call_server.h"

namespace hornbeam {

namespace {

constexpr std::size_t kLoggedCandidates = 4;
constexpr duration kHedgeWaitInterval = std::chrono::seconds(1);

call_result MakeResult(outcome call_outcome, end_reason reason) {
  return call_result{
      .end = call_end{.call_outcome = call_outcome, .reason = reason}};
}

// Returns true when the call must not be dispatched again.
bool IsFinal(const call_end& end) {
  return end.call_outcome == outcome::kAnswered ||
         end.reason == end_reason::kCancelled ||
         end.reason == end_reason::kDeadlinePassed;
}

// Maps the end of a dispatch to the kind that load accounting and outlier
// ejection distinguish.
dispatch_result ToDispatchResult(const call_end& end) {
  if (end.reason == end_reason::kCancelled) return dispatch_result::kAbandoned;
  switch (end.call_outcome) {
    case outcome::kAnswered:
      return dispatch_result::kAnswered;
    case outcome::kNotRun:
      return end.reason == end_reason::kNoUpstream ? dispatch_result::kFailed
                                                   : dispatch_result::kRejected;
    case outcome::kUnknown:
      return dispatch_result::kFailed;
  }
  return dispatch_result::kFailed;
}

call_start MakeStart(const service_state& service, const outgoing_call& call,
                     const route_choice& choice, duration left) {
  return call_start{.id = call.id,
                    .service = service.Name(),
                    .method = std::string(call.method),
                    .target = std::string(call.target),
                    .headers = {call.headers.begin(), call.headers.end()},
                    .body_size = call.body.size(),
                    .deadline_us = ToMicroseconds(left),
                    .incarnation = choice.upstream.incarnation,
                    .wait_limit_us = choice.wait_limit == duration::max()
                                         ? 0
                                         : ToMicroseconds(choice.wait_limit),
                    .expected = call.kind,
                    .attempt = call.attempt};
}

}  // namespace

call_router::call_router(io_loop& loop, const clock_source& clock,
                         random_source& random, event_log& log,
                         const process_identity& self, call_service& local,
                         const call_link_options& options)
    : loop_(loop),
      clock_(clock),
      random_(random),
      log_(log),
      self_(self),
      local_(local),
      options_(options) {}

call_router::~call_router() = default;

void call_router::Start(fiber_group& fibers) { fibers_ = &fibers; }

void call_router::Stop() {
  for (const auto& link : links_ | std::views::values) link->Stop();
}

std::optional<route_choice> call_router::Choose(
    service_state& service, const outgoing_call& call,
    std::span<const upstream_id> tried) {
  const std::vector<candidate> members = service.View().Candidates();
  std::vector<candidate> eligible = service.Ejector().Eligible(members);
  std::erase_if(eligible, [tried](const candidate& each) {
    return each.load.report.draining ||
           std::ranges::find(tried, each.id) != tried.end();
  });
  const pick_decision decision =
      service.Picker().Pick(eligible, pick_call{.kind = call.kind});
  LogChoice(service, call, eligible, decision, tried.size() + 1);
  if (!decision.chosen) return std::nullopt;
  const upstream_id& id = eligible[*decision.chosen].id;
  const upstream_lease* lease = service.FindMember(id);
  const auto address =
      lease ? endpoint::Parse(lease->peers_address) : std::nullopt;
  if (!address) return std::nullopt;
  // A claimed call must not be rerouted for a shorter wait: each further
  // attempt costs a commit to the ledger.
  const auto dispatches = static_cast<std::uint32_t>(tried.size());
  const bool may_limit_wait =
      call.idempotent && service.Retries().MayLimitWait(dispatches);
  return route_choice{
      .upstream = id,
      .address = *address,
      .wait_limit = may_limit_wait ? decision.wait_limit : duration::max()};
}

call_result call_router::Dispatch(service_state& service,
                                  const outgoing_call& call,
                                  const route_choice& choice) {
  outgoing_call sent = call;
  sent.id = request_id::MakeRandom(random_);
  const call_start start =
      MakeStart(service, sent, choice, call.deadline - clock_.Now());
  const dispatch_ticket ticket =
      service.View().RecordDispatch(choice.upstream, call.kind);
  service.Ejector().RecordDispatch(choice.upstream);
  const bool is_local = choice.upstream.node == self_.name &&
                        choice.upstream.incarnation == self_.incarnation;
  call_result ended =
      is_local ? DispatchLocal(start, sent)
               : Link(choice.address, call.kind)
                     .Call(start, call.body, call.deadline, *call.cancel);
  RecordCompletion(service, call, choice, ticket, ended);
  return ended;
}

call_result call_router::Route(const std::shared_ptr<service_state>& service,
                               const outgoing_call& call) {
  service->Retries().RecordCall();
  service->Hedges().RecordCall();
  service->RecordCallTime(clock_.Now());
  const auto hedge_delay = service->Hedges().Delay(call.kind, call.idempotent);
  std::vector<upstream_id> tried;
  std::uint32_t reroutes = 0;
  call_result last = MakeResult(outcome::kNotRun, end_reason::kNoUpstream);
  while (clock_.Now() < call.deadline) {
    const auto choice = Choose(*service, call, tried);
    if (!choice) return last;
    const time_point sent_at = clock_.Now();
    tried.push_back(choice->upstream);
    last = hedge_delay
               ? DispatchHedged(service, call, *choice, tried, *hedge_delay)
               : Dispatch(*service, call, *choice);
    if (IsFinal(last.end) || call.cancel->IsCancelled()) {
      const bool is_hedge_sample =
          last.end.call_outcome == outcome::kAnswered &&
          call.kind == call_class::kShort && tried.size() == 1;
      if (is_hedge_sample)
        service->Hedges().RecordLatency(clock_.Now() - sent_at);
      return last;
    }
    const bool by_wait_limit = last.end.reason == end_reason::kTryAnotherNode;
    if (by_wait_limit) ++reroutes;
    const retry_verdict verdict = service->Retries().Decide(
        {.call_outcome = last.end.call_outcome,
         .idempotent = call.idempotent,
         .by_wait_limit = by_wait_limit,
         .attempts = static_cast<std::uint32_t>(tried.size()) - reroutes});
    if (verdict != retry_verdict::kRetry) return last;
    log_.Write(event_id::kCallRerouted,
               {{"request", call.id.ToString()},
                {"service", service->Name()},
                {"from", choice->upstream.node},
                {"reason", static_cast<unsigned>(last.end.reason)}});
  }
  return last;
}

// A call that may have a second dispatch running. It owns copies of the
// request, because a dispatch that lost the race may outlive the caller's
// request.
struct call_router::hedged_call {
  std::shared_ptr<service_state> service;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  outgoing_call call;
  std::vector<std::unique_ptr<cancel_source>> cancels;
  std::size_t running = 0;
  call_result last;
  fiber_signal<call_result> decided;

  void CancelAll() {
    for (const auto& cancel : cancels) cancel->Cancel();
  }
};

call_result call_router::DispatchHedged(
    const std::shared_ptr<service_state>& service, const outgoing_call& call,
    const route_choice& first, std::vector<upstream_id>& tried,
    duration delay) {
  const auto hedged = std::make_shared<hedged_call>();
  hedged->service = service;
  hedged->method = call.method;
  hedged->target = call.target;
  hedged->headers.assign(call.headers.begin(), call.headers.end());
  hedged->body = call.body;
  hedged->call = call;
  hedged->call.method = hedged->method;
  hedged->call.target = hedged->target;
  hedged->call.headers = hedged->headers;
  hedged->call.body = hedged->body;
  const cancel_registration registration(*call.cancel,
                                         [&hedged] { hedged->CancelAll(); });
  StartHedged(hedged, first);
  const time_point hedge_at = clock_.Now() + delay;
  call_result* decided =
      hedged->decided.WaitUntil(std::min(hedge_at, call.deadline));
  if (decided == nullptr && clock_.Now() < call.deadline) {
    const auto second = Choose(*service, call, tried);
    if (second && service->Hedges().TryHedge()) {
      tried.push_back(second->upstream);
      log_.Write(event_id::kCallHedged, {{"request", call.id.ToString()},
                                         {"service", service->Name()},
                                         {"first", first.upstream.node},
                                         {"second", second->upstream.node}});
      StartHedged(hedged, *second);
    }
  }
  // The loop terminates: each dispatch ends by itself soon after the deadline.
  while (decided == nullptr) {
    decided = hedged->decided.WaitUntil(clock_.Now() + kHedgeWaitInterval);
  }
  call_result result = std::move(*decided);
  hedged->CancelAll();
  return result;
}

void call_router::StartHedged(const std::shared_ptr<hedged_call>& hedged,
                              const route_choice& choice) {
  hedged->cancels.push_back(std::make_unique<cancel_source>());
  cancel_source* cancel = hedged->cancels.back().get();
  ++hedged->running;
  fibers_->Start([this, hedged, choice, cancel] {
    outgoing_call call = hedged->call;
    call.cancel = cancel;
    call_result ended = Dispatch(*hedged->service, call, choice);
    --hedged->running;
    // A failed dispatch sets the result only if no other dispatch can answer.
    const bool decides =
        ended.end.call_outcome == outcome::kAnswered || hedged->running == 0;
    if (decides) hedged->decided.Set(std::move(ended));
  });
}

void call_router::Probe(const std::shared_ptr<service_state>& service,
                        const upstream_id& upstream) {
  const upstream_lease* lease = service->FindMember(upstream);
  const auto address =
      lease ? endpoint::Parse(lease->peers_address) : std::nullopt;
  if (!address || upstream.node == self_.name) return;
  Link(*address, call_class::kShort)
      .Probe(
          request_id::MakeRandom(random_),
          [weak = std::weak_ptr(service), upstream](const load_report& report) {
            const auto state = weak.lock();
            if (state) state->View().RecordReport(upstream, report);
          });
}

call_result call_router::Fence(service_state& service,
                               const upstream_id& upstream,
                               const claimed_attempt& attempt,
                               time_point deadline) {
  const attempt_fence fence{.id = request_id::MakeRandom(random_),
                            .service = service.Name(),
                            .incarnation = upstream.incarnation,
                            .attempt = attempt};
  if (upstream.node == self_.name) {
    served_call served = local_.Fence(fence);
    return call_result{.end = std::move(served.end),
                       .body = std::move(served.body),
                       .sent = true};
  }
  // The fence goes to the node's current incarnation, whichever it is: a
  // restarted node replies that it has no record of the attempt.
  const upstream_lease* lease = service.FindNode(upstream.node);
  const auto address =
      lease ? endpoint::Parse(lease->peers_address) : std::nullopt;
  if (!address) return MakeResult(outcome::kUnknown, end_reason::kNoUpstream);
  return Link(*address, call_class::kShort).Fence(fence, deadline);
}

call_link& call_router::Link(const endpoint& address, call_class kind) {
  const auto key = std::make_pair(address.ToString(), kind);
  const auto found = links_.find(key);
  if (found != links_.end()) return *found->second;
  const connection_purpose purpose = kind == call_class::kShort
                                         ? connection_purpose::kShortCalls
                                         : connection_purpose::kLongCalls;
  auto link = std::make_unique<call_link>(loop_, clock_, log_, self_, address,
                                          purpose, options_);
  link->Start(*fibers_);
  return *links_.emplace(key, std::move(link)).first->second;
}

call_result call_router::DispatchLocal(const call_start& start,
                                       const outgoing_call& call) {
  inbound_call inbound{.start = start,
                       .body = std::string(call.body),
                       .ingress = self_.name,
                       .deadline = call.deadline};
  const cancel_registration registration(
      *call.cancel, [&inbound] { inbound.cancel.Cancel(); });
  served_call served = local_.Serve(inbound);
  return call_result{.end = std::move(served.end),
                     .body = std::move(served.body),
                     .sent = true};
}

void call_router::RecordCompletion(service_state& service,
                                   const outgoing_call& call,
                                   const route_choice& choice,
                                   const dispatch_ticket& ticket,
                                   const call_result& ended) {
  const dispatch_result end = ToDispatchResult(ended.end);
  service.View().RecordCompletion(ticket, end);
  if (ended.end.load.sequence > 0) {
    service.View().RecordReport(choice.upstream, ended.end.load);
  }
  switch (end) {
    case dispatch_result::kAnswered:
      service.Ejector().RecordSuccess(choice.upstream);
      service.Classifier().Record(
          call.method, call.target,
          std::chrono::microseconds(ended.end.service_time_us));
      break;
    case dispatch_result::kFailed:
      service.Ejector().RecordFailure(choice.upstream);
      break;
    case dispatch_result::kRejected:
    case dispatch_result::kAbandoned:
      service.Ejector().RecordAbandoned(choice.upstream);
      break;
  }
}

void call_router::LogChoice(const service_state& service,
                            const outgoing_call& call,
                            std::span<const candidate> candidates,
                            const pick_decision& decision,
                            std::size_t attempts) {
  std::string scores;
  for (const candidate_score& score :
       decision.scores | std::views::take(kLoggedCandidates)) {
    fmt::format_to(std::back_inserter(scores), "{}{}:{:.0f}:{}",
                   scores.empty() ? "" : ",", candidates[score.index].id.node,
                   score.score, score.report_age.count());
  }
  log_.Write(
      event_id::kCallRouted,
      {{"request", call.id.ToString()},
       {"service", service.Name()},
       {"class", call.kind == call_class::kShort ? "short" : "long"},
       {"upstream", decision.chosen ? candidates[*decision.chosen].id.node
                                    : std::string("none")},
       {"attempt", attempts},
       {"candidates", candidates.size()},
       {"scores_us_and_ages_us", scores}});
}

}  // namespace hornbeam
