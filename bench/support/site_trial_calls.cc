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
constexpr double kMillion = 1e6;

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void site_trial::Arrive() {
  if (clock_.Now() - began_ > site_.ends) return;
  After(duration(std::llround(Exponential(kMillion / Rate()))),
        [this] { Arrive(); });
  auto of = std::make_shared<call>();
  of->arrived = clock_.Now();
  of->is_long = random_.NextUnit() < site_.long_share;
  of->idempotent = random_.NextUnit() >= site_.non_idempotent_share;
  const duration mean = of->is_long ? site_.long_time : site_.short_time;
  of->work_us = Exponential(static_cast<double>(mean.count()));
  of->deadline = of->arrived + (of->is_long ? scenario_.long_deadline
                                            : scenario_.short_deadline);
  of->ingress = random_.NextBelow(ingress_.size());
  of->number = ++last_call_;
  of->counts = InFault();
  ingress_node& node = ingress_[of->ingress];
  of->kind = node.classifier->Classify("GET", Route(*of));
  node.retries->RecordCall();
  node.hedges->RecordCall();
  ++in_flight_;
  if (of->counts) ++counts_.sent;
  Send(of);
  if (contender_.full_policy && contender_.hedging) MaybeHedge(of);
}

std::string_view site_trial::Route(const call& of) {
  return of.is_long ? "/nappe-data/wells/17/history" : "/guichet/licences/17";
}

std::vector<candidate> site_trial::Eligible(const call& of) {
  const ingress_node& node = ingress_[of.ingress];
  std::vector<candidate> all = node.view->Candidates();
  if (contender_.full_policy) all = node.ejected->Eligible(all);
  std::vector<candidate> fresh;
  std::ranges::copy_if(all, std::back_inserter(fresh), [&](const auto& each) {
    return std::ranges::find(of.tried, each.id) == of.tried.end();
  });
  return fresh.empty() ? all : fresh;
}

void site_trial::Send(const std::shared_ptr<call>& of) {
  ingress_node& node = ingress_[of->ingress];
  const std::vector<candidate> candidates = Eligible(*of);
  const pick_decision decision =
      node.pick->Pick(candidates, pick_call{.kind = of->kind});
  const upstream_id& id = candidates[*decision.chosen].id;
  const auto found = std::ranges::find(upstreams_, id, &upstream_node::id);
  dispatch sent{.of = of};
  sent.upstream = static_cast<std::size_t>(found - upstreams_.begin());
  sent.ticket = node.view->RecordDispatch(id, of->kind);
  const bool limits =
      contender_.full_policy && node.retries->MayLimitWait(of->dispatches);
  sent.wait_limit = limits ? decision.wait_limit : duration::max();
  sent.id = request_id{.high = of->number, .low = ++of->dispatches};
  node.ejected->RecordDispatch(id);
  of->tried.push_back(id);
  ++of->in_flight;
  if (of->counts) ++counts_.dispatches;
  After(Delay(of->ingress, sent.upstream), [this, sent] { Serve(sent); });
}

void site_trial::MaybeHedge(const std::shared_ptr<call>& of) {
  ingress_node& node = ingress_[of->ingress];
  const auto delay = node.hedges->Delay(of->kind, of->idempotent);
  if (!delay) return;
  After(*delay, [this, of] {
    if (of->done || of->dispatches > 1) return;
    if (!ingress_[of->ingress].hedges->TryHedge()) return;
    of->hedged = true;
    if (of->counts) ++counts_.hedges;
    Send(of);
  });
}

void site_trial::Serve(const dispatch& sent) {
  upstream_node& node = upstreams_[sent.upstream];
  // The upstream has restarted since: the connection is refused.
  if (node.id != sent.ticket.upstream) {
    Refuse(sent, rejection_reason::kNone, load_report{});
    return;
  }
  const admission_decision answer = node.queue->Offer(admission_request{
      .id = sent.id,
      .kind = contender_.full_policy ? sent.of->kind : call_class::kShort,
      .deadline = sent.of->deadline,
      .wait_limit = sent.wait_limit});
  if (answer.verdict == admission_verdict::kRejected) {
    Refuse(sent, answer.reason, Report(sent.upstream));
    return;
  }
  node.held.emplace(sent.id, sent);
  if (answer.verdict == admission_verdict::kAdmitted) {
    Start(sent.upstream, sent.id);
  }
}

void site_trial::Start(std::size_t upstream, const request_id& id) {
  const dispatch sent = upstreams_[upstream].held.at(id);
  const bool fails = scenario_.fails_fast && upstream == 0 && InFault();
  const duration time = fails ? kFailTime : RunTime(*sent.of, upstream);
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
  if (node.held.erase(sent.id) == 0) return;
  const double failure = failed ? 1 : 0;
  node.failure_share = std::lerp(node.failure_share, failure, kFailureWeight);
  load_report load;
  node.queue->Describe(load);
  if (!failed) {
    node.limit->RecordAnswer(sent.of->kind, ran_for,
                             load.running_short + load.running_long);
    if (InFault()) crest_work_us_ += static_cast<double>(ran_for.count());
  }
  Apply(sent.upstream,
        node.queue->Release(sent.id,
                            failed ? std::nullopt : std::optional(ran_for)));
  if (contender_.full_policy) {
    Apply(sent.upstream, node.queue->SetSlots(node.limit->Limit()));
  }
  const load_report report = Report(sent.upstream);
  After(Delay(sent.of->ingress, sent.upstream),
        [=, this] { Answer(sent, report, ran_for, failed); });
}

void site_trial::Shed(const dispatch& sent) {
  upstream_node& node = upstreams_[sent.upstream];
  if (node.held.erase(sent.id) == 0) return;
  node.limit->RecordShed(Running(sent.upstream));
  Apply(sent.upstream, node.queue->Release(sent.id, std::nullopt));
  if (contender_.full_policy) {
    Apply(sent.upstream, node.queue->SetSlots(node.limit->Limit()));
  }
  Refuse(sent, rejection_reason::kNone, Report(sent.upstream));
}

void site_trial::Apply(std::size_t upstream, const admission_change& change) {
  for (const request_id& id : change.admitted) Start(upstream, id);
  for (const rejected_call& rejected : change.rejected) {
    auto held = upstreams_[upstream].held.extract(rejected.id);
    if (!held.empty()) Refuse(held.mapped(), rejected.reason, Report(upstream));
  }
}

void site_trial::Refuse(const dispatch& sent, rejection_reason reason,
                        const load_report& report) {
  After(Delay(sent.of->ingress, sent.upstream), [this, sent, reason, report] {
    call& of = *sent.of;
    ingress_node& node = ingress_[of.ingress];
    node.view->RecordReport(sent.ticket.upstream, report);
    node.view->RecordEnd(sent.ticket, dispatch_end::kRejected);
    node.ejected->RecordAbandoned(sent.ticket.upstream);
    --of.in_flight;
    if (of.counts) ++counts_.refused_hops;
    if (of.done || of.in_flight > 0) return;
    if (reason == rejection_reason::kBetterPlace) ++of.rerouted;
    const auto verdict = node.retries->Decide(
        retry_request{.fate = outcome::kNotRun,
                      .by_wait_limit = reason == rejection_reason::kBetterPlace,
                      .attempts = of.dispatches - of.rerouted});
    if (verdict == retry_verdict::kRetry && clock_.Now() < of.deadline) {
      Send(sent.of);
      return;
    }
    EndCall(of, counts_.rejected);
  });
}

void site_trial::Answer(const dispatch& sent, const load_report& report,
                        duration ran_for, bool failed) {
  call& of = *sent.of;
  ingress_node& node = ingress_[of.ingress];
  node.view->RecordReport(sent.ticket.upstream, report);
  node.view->RecordEnd(
      sent.ticket, failed ? dispatch_end::kFailed : dispatch_end::kAnswered);
  --of.in_flight;
  if (failed) {
    node.ejected->RecordFailure(sent.ticket.upstream);
    if (of.done || of.in_flight > 0) return;
    const auto verdict = node.retries->Decide(retry_request{
        .idempotent = of.idempotent, .attempts = of.dispatches - of.rerouted});
    if (verdict == retry_verdict::kRetry) {
      Send(sent.of);
      return;
    }
    EndCall(of, counts_.failed);
    return;
  }
  node.ejected->RecordSuccess(sent.ticket.upstream);
  node.classifier->Record("GET", Route(of), ran_for);
  if (of.done) return;
  const duration latency = clock_.Now() - of.arrived;
  if (!of.hedged && of.kind == call_class::kShort) {
    node.hedges->RecordLatency(latency);
  }
  if (of.counts) {
    auto& sample = of.is_long ? counts_.long_ms : counts_.short_ms;
    sample.push_back(Milliseconds(latency));
  }
  EndCall(of, counts_.answered);
  if (!of.hedged) return;
  for (std::size_t other = 0; other < upstreams_.size(); ++other) {
    After(Delay(of.ingress, other),
          [this, other, number = of.number] { CancelQueued(other, number); });
  }
}

void site_trial::CancelQueued(std::size_t upstream, std::uint64_t number) {
  upstream_node& node = upstreams_[upstream];
  for (std::uint64_t attempt = 1; attempt <= 2; ++attempt) {
    const request_id id{.high = number, .low = attempt};
    if (node.queue->Cancel(id) != cancel_verdict::kDropped) continue;
    const auto held = node.held.extract(id);
    const dispatch& sent = held.mapped();
    ingress_[sent.of->ingress].view->RecordEnd(sent.ticket,
                                               dispatch_end::kAbandoned);
    ingress_[sent.of->ingress].ejected->RecordAbandoned(sent.ticket.upstream);
  }
}

void site_trial::EndCall(call& of, std::uint64_t& counter) {
  of.done = true;
  --in_flight_;
  if (of.counts) ++counter;
}

}  // namespace hornbeam::trial
