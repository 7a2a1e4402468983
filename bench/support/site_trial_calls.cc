// Simulation of a call: arrival, dispatch, admission, answer and retries.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>
#include <optional>
#include <vector>

#include "support/site_trial.h"

namespace hornbeam::trial {

namespace {

constexpr duration kFailTime = std::chrono::milliseconds(1);
constexpr double kFailureWeight = 0.05;
constexpr double kMicrosecondsPerSecond = 1e6;

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void site_trial::Arrive() {
  if (clock_.Now() - start_ > site_.arrivals_end) return;
  After(duration(std::llround(Exponential(kMicrosecondsPerSecond / Rate()))),
        [this] { Arrive(); });
  auto request = std::make_shared<call>();
  request->arrived = clock_.Now();
  request->is_long = random_.NextUnit() < site_.long_share;
  request->idempotent = random_.NextUnit() >= site_.non_idempotent_share;
  const duration mean = request->is_long ? site_.long_time : site_.short_time;
  request->work_us = Exponential(static_cast<double>(mean.count()));
  request->deadline =
      request->arrived +
      (request->is_long ? scenario_.long_deadline : scenario_.short_deadline);
  request->ingress = random_.NextBelow(ingress_.size());
  request->number = ++last_call_;
  request->in_fault = InFault();
  ingress_node& node = ingress_[request->ingress];
  request->kind = node.classifier->Classify("GET", Route(*request));
  node.retries->RecordCall();
  node.hedges->RecordCall();
  ++in_flight_;
  if (request->in_fault) ++counts_.sent;
  Send(request);
  if (contender_.full_policy && contender_.hedging) MaybeHedge(request);
}

std::string_view site_trial::Route(const call& request) {
  return request.is_long ? "/nappe-data/wells/17/history"
                         : "/guichet/licences/17";
}

std::vector<candidate> site_trial::Eligible(const call& request) {
  const ingress_node& node = ingress_[request.ingress];
  std::vector<candidate> all = node.view->Candidates();
  if (contender_.full_policy) all = node.ejections->Eligible(all);
  std::vector<candidate> fresh;
  std::ranges::copy_if(all, std::back_inserter(fresh), [&](const auto& each) {
    return std::ranges::find(request.tried, each.id) == request.tried.end();
  });
  return fresh.empty() ? all : fresh;
}

void site_trial::Send(const std::shared_ptr<call>& request) {
  ingress_node& node = ingress_[request->ingress];
  const std::vector<candidate> candidates = Eligible(*request);
  const pick_decision decision =
      node.pick->Pick(candidates, pick_call{.kind = request->kind});
  const upstream_id& id = candidates[*decision.chosen].id;
  const auto found = std::ranges::find(upstreams_, id, &upstream_node::id);
  dispatch sent{.request = request};
  sent.upstream = static_cast<std::size_t>(found - upstreams_.begin());
  sent.ticket = node.view->RecordDispatch(id, request->kind);
  const bool limits =
      contender_.full_policy && node.retries->MayLimitWait(request->dispatches);
  sent.wait_limit = limits ? decision.wait_limit : duration::max();
  sent.id = request_id{.high = request->number, .low = ++request->dispatches};
  node.ejections->RecordDispatch(id);
  request->tried.push_back(id);
  ++request->in_flight;
  if (request->in_fault) ++counts_.dispatches;
  After(Delay(request->ingress, sent.upstream), [this, sent] { Serve(sent); });
}

void site_trial::MaybeHedge(const std::shared_ptr<call>& request) {
  ingress_node& node = ingress_[request->ingress];
  const auto delay = node.hedges->Delay(request->kind, request->idempotent);
  if (!delay) return;
  After(*delay, [this, request] {
    if (request->done || request->dispatches > 1) return;
    if (!ingress_[request->ingress].hedges->TryHedge()) return;
    request->hedged = true;
    if (request->in_fault) ++counts_.hedges;
    Send(request);
  });
}

void site_trial::Serve(const dispatch& sent) {
  upstream_node& node = upstreams_[sent.upstream];
  // The upstream has restarted since: the connection is refused.
  if (node.id != sent.ticket.upstream) {
    Reject(sent, rejection_reason::kNone, load_report{});
    return;
  }
  const admission_decision answer = node.queue->Offer(admission_request{
      .id = sent.id,
      .kind = contender_.full_policy ? sent.request->kind : call_class::kShort,
      .deadline = sent.request->deadline,
      .wait_limit = sent.wait_limit});
  if (answer.verdict == admission_verdict::kRejected) {
    Reject(sent, answer.reason, Report(sent.upstream));
    return;
  }
  node.pending.emplace(sent.id, sent);
  if (answer.verdict == admission_verdict::kAdmitted) {
    Start(sent.upstream, sent.id);
  }
}

void site_trial::Start(std::size_t upstream, const request_id& id) {
  const dispatch sent = upstreams_[upstream].pending.at(id);
  const bool fails = scenario_.fails_fast && upstream == 0 && InFault();
  const duration time = fails ? kFailTime : RunTime(*sent.request, upstream);
  const bool sheds = scenario_.sheds && upstream == 0 && InFault() &&
                     Running(upstream) > site_.slots / 2;
  if (sheds) {
    After(kFailTime, [this, sent] { Shed(sent); });
    return;
  }
  After(time, [this, sent, time, fails] { Finish(sent, time, fails); });
}

void site_trial::Finish(const dispatch& sent, duration ran_for, bool failed) {
  upstream_node& node = upstreams_[sent.upstream];
  if (node.pending.erase(sent.id) == 0) return;
  const double failure = failed ? 1 : 0;
  node.failure_share = std::lerp(node.failure_share, failure, kFailureWeight);
  load_report load;
  node.queue->Describe(load);
  if (!failed) {
    node.limit->RecordAnswer(sent.request->kind, ran_for,
                             load.running_short + load.running_long);
    if (InFault()) overload_work_us_ += static_cast<double>(ran_for.count());
  }
  Apply(sent.upstream,
        node.queue->Release(sent.id,
                            failed ? std::nullopt : std::optional(ran_for)));
  if (contender_.full_policy) {
    Apply(sent.upstream, node.queue->SetSlots(node.limit->Limit()));
  }
  const load_report report = Report(sent.upstream);
  After(Delay(sent.request->ingress, sent.upstream),
        [=, this] { ReceiveAnswer(sent, report, ran_for, failed); });
}

void site_trial::Shed(const dispatch& sent) {
  upstream_node& node = upstreams_[sent.upstream];
  if (node.pending.erase(sent.id) == 0) return;
  node.limit->RecordShed(Running(sent.upstream));
  Apply(sent.upstream, node.queue->Release(sent.id, std::nullopt));
  if (contender_.full_policy) {
    Apply(sent.upstream, node.queue->SetSlots(node.limit->Limit()));
  }
  Reject(sent, rejection_reason::kNone, Report(sent.upstream));
}

void site_trial::Apply(std::size_t upstream, const admission_change& change) {
  for (const request_id& id : change.admitted) Start(upstream, id);
  for (const rejected_call& rejected : change.rejected) {
    auto held = upstreams_[upstream].pending.extract(rejected.id);
    if (!held.empty()) Reject(held.mapped(), rejected.reason, Report(upstream));
  }
}

void site_trial::Reject(const dispatch& sent, rejection_reason reason,
                        const load_report& report) {
  After(Delay(sent.request->ingress, sent.upstream), [this, sent, reason,
                                                      report] {
    call& request = *sent.request;
    ingress_node& node = ingress_[request.ingress];
    node.view->RecordReport(sent.ticket.upstream, report);
    node.view->RecordCompletion(sent.ticket, dispatch_result::kRejected);
    node.ejections->RecordAbandoned(sent.ticket.upstream);
    --request.in_flight;
    if (request.in_fault) ++counts_.rejected_dispatches;
    if (request.done || request.in_flight > 0) return;
    if (reason == rejection_reason::kTryAnotherNode) ++request.rerouted;
    const auto verdict = node.retries->Decide(retry_request{
        .call_outcome = outcome::kNotRun,
        .by_wait_limit = reason == rejection_reason::kTryAnotherNode,
        .attempts = request.dispatches - request.rerouted});
    if (verdict == retry_verdict::kRetry && clock_.Now() < request.deadline) {
      Send(sent.request);
      return;
    }
    CompleteCall(request, counts_.rejected);
  });
}

void site_trial::ReceiveAnswer(const dispatch& sent, const load_report& report,
                               duration ran_for, bool failed) {
  call& request = *sent.request;
  ingress_node& node = ingress_[request.ingress];
  node.view->RecordReport(sent.ticket.upstream, report);
  node.view->RecordCompletion(sent.ticket, failed ? dispatch_result::kFailed
                                                  : dispatch_result::kAnswered);
  --request.in_flight;
  if (failed) {
    node.ejections->RecordFailure(sent.ticket.upstream);
    if (request.done || request.in_flight > 0) return;
    const auto verdict = node.retries->Decide(
        retry_request{.idempotent = request.idempotent,
                      .attempts = request.dispatches - request.rerouted});
    if (verdict == retry_verdict::kRetry) {
      Send(sent.request);
      return;
    }
    CompleteCall(request, counts_.failed);
    return;
  }
  node.ejections->RecordSuccess(sent.ticket.upstream);
  node.classifier->Record("GET", Route(request), ran_for);
  if (request.done) return;
  const duration latency = clock_.Now() - request.arrived;
  if (!request.hedged && request.kind == call_class::kShort) {
    node.hedges->RecordLatency(latency);
  }
  if (request.in_fault) {
    auto& sample = request.is_long ? counts_.long_ms : counts_.short_ms;
    sample.push_back(Milliseconds(latency));
  }
  CompleteCall(request, counts_.answered);
  if (!request.hedged) return;
  for (std::size_t other = 0; other < upstreams_.size(); ++other) {
    After(Delay(request.ingress, other),
          [this, other, number = request.number] {
            CancelQueued(other, number);
          });
  }
}

void site_trial::CancelQueued(std::size_t upstream, std::uint64_t number) {
  upstream_node& node = upstreams_[upstream];
  for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
    const request_id id{.high = number, .low = attempt};
    if (node.queue->Cancel(id) != cancel_verdict::kDropped) continue;
    const auto pending = node.pending.extract(id);
    const dispatch& sent = pending.mapped();
    ingress_[sent.request->ingress].view->RecordCompletion(
        sent.ticket, dispatch_result::kAbandoned);
    ingress_[sent.request->ingress].ejections->RecordAbandoned(
        sent.ticket.upstream);
  }
}

void site_trial::CompleteCall(call& request, std::uint64_t& counter) {
  request.done = true;
  --in_flight_;
  if (request.in_fault) ++counter;
}

}  // namespace hornbeam::trial
