#include "support/site_trial.h"

#include <utility>

namespace hornbeam::trial {

namespace {

constexpr duration kProbeInterval = std::chrono::milliseconds(10);
constexpr duration kProbeAge = std::chrono::milliseconds(100);
constexpr std::int64_t kProbeBytes = 96;
constexpr duration kTickInterval = std::chrono::milliseconds(2);
constexpr duration kOverloadRamp = std::chrono::milliseconds(100);
constexpr duration kProbeWindow = std::chrono::milliseconds(100);
constexpr duration kColdTime = std::chrono::seconds(3);
constexpr double kColdFactor = 8;
constexpr duration kNoiseTime = std::chrono::milliseconds(300);
constexpr double kNoiseFactor = 4;
constexpr duration kFreezeTime = std::chrono::seconds(1);
constexpr duration kDrainTime = std::chrono::seconds(3);
constexpr double kMicrosecondsPerSecond = 1e6;

probe_budget_options ProbeBudget() {
  return probe_budget_options{.window = kProbeWindow,
                              .messages_per_window = 8,
                              .bytes_per_window = 1024,
                              .burst_messages = 4,
                              .burst_bytes = 512};
}

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

site_trial::site_trial(simulated_site size, scenario current_scenario,
                       contender current_contender, std::uint64_t seed)
    : site_(size),
      scenario_(std::move(current_scenario)),
      contender_(std::move(current_contender)),
      start_(clock_.Now()),
      random_(seed) {
  MakeNodes();
}

void site_trial::After(duration delay, std::function<void()> action) {
  events_.push(event{.at = clock_.Now() + delay,
                     .order = ++last_order_,
                     .action = std::move(action)});
}

void site_trial::MakeNodes() {
  upstreams_.resize(site_.upstreams);
  ingress_.resize(site_.ingress_nodes);
  for (ingress_node& node : ingress_) {
    node.random = std::make_unique<seeded_random_source>(random_.Next());
    node.view = std::make_unique<load_view>(clock_);
    node.pick = MakePicker(contender_.kind, *node.random, contender_.options);
    node.ejections = std::make_unique<ejector>(clock_, ejector_options{});
    node.retries = std::make_unique<retry_budget>(retry_budget_options{});
    node.hedges = std::make_unique<hedge_budget>(hedge_budget_options{});
    node.classifier =
        std::make_unique<call_classifier>(call_classifier_options{});
    node.probes = std::make_unique<probe_budget>(clock_, ProbeBudget());
  }
  for (std::size_t index = 0; index < upstreams_.size(); ++index) {
    StartUpstream(index);
  }
  PublishMembers(0);
}

void site_trial::StartUpstream(std::size_t index) {
  upstream_node& node = upstreams_[index];
  // A restart loses the calls of the previous incarnation.
  for (auto& [id, sent] : std::exchange(node.pending, {})) {
    After(Delay(sent.request->ingress, index), [this, lost = sent] {
      ReceiveAnswer(lost, load_report{}, duration::zero(), true);
    });
  }
  node.id = upstream_id{.node = "upstream-" + std::to_string(index),
                        .incarnation = node.id.incarnation + 1};
  node.sequence = 0;
  node.failure_share = 0;
  admission_options admission = contender_.admission;
  admission.overload = scenario_.overload;
  node.queue = std::make_unique<admission_queue>(clock_, admission);
  node.limit =
      std::make_unique<concurrency_limit>(clock_, concurrency_limit_options{});
  node.limit->SetAnnounced(site_.slots);
  node.queue->SetSlots(site_.slots);
  node.probes = std::make_unique<probe_budget>(clock_, ProbeBudget());
  if (node.id.incarnation > 1 && contender_.full_policy) {
    node.queue->BeginSlowStart();
  }
}

void site_trial::PublishMembers(std::size_t first) {
  std::vector<subset_member> all;
  for (std::size_t index = first; index < upstreams_.size(); ++index) {
    all.push_back({upstreams_[index].id, Zone(index)});
  }
  for (std::size_t from = 0; from < ingress_.size(); ++from) {
    const auto subset = ChooseSubset(all, "ingress-" + std::to_string(from),
                                     Zone(from), subset_options{});
    std::vector<upstream_member> members;
    std::vector<upstream_id> ids;
    for (const std::size_t index : subset) {
      const bool same = all[index].availability_zone == Zone(from);
      members.push_back(
          upstream_member{.id = all[index].id,
                          .distance = same ? zone_distance::kSameZone
                                           : zone_distance::kOtherZone});
      ids.push_back(all[index].id);
    }
    ingress_[from].view->SetMembers(members);
    ingress_[from].ejections->SetMembers(ids);
  }
}

std::string site_trial::Zone(std::size_t node) const {
  return std::to_string(node % site_.zones);
}

bool site_trial::InFault() const {
  const duration elapsed = clock_.Now() - start_;
  return elapsed >= site_.fault_begins && elapsed < site_.fault_ends;
}

duration site_trial::Delay(std::size_t ingress, std::size_t upstream) const {
  return ingress % site_.zones == upstream % site_.zones
             ? site_.same_zone_delay
             : site_.other_zone_delay;
}

double site_trial::Rate() const {
  const double mean = (1 - site_.long_share) * Seconds(site_.short_time) +
                      site_.long_share * Seconds(site_.long_time);
  const double rate = scenario_.load * site_.upstreams * site_.slots / mean;
  if (!InFault()) return rate;
  const duration elapsed = clock_.Now() - start_ - site_.fault_begins;
  const double ramp = std::min(1.0, Seconds(elapsed) / Seconds(kOverloadRamp));
  return rate * (1 + (scenario_.overload_factor - 1) * ramp);
}

double site_trial::SlowdownFactor(std::size_t upstream) const {
  if (scenario_.noisy && InFault()) {
    const duration since = clock_.Now() - start_;
    const auto turn = static_cast<std::size_t>(since / kNoiseTime);
    return turn % upstreams_.size() == upstream ? kNoiseFactor : 1;
  }
  if (upstream != 0) return 1;
  const duration since = clock_.Now() - start_ - site_.fault_begins;
  if (scenario_.cold && since >= duration::zero() && since < kColdTime) {
    return kColdFactor -
           (kColdFactor - 1) * Seconds(since) / Seconds(kColdTime);
  }
  if (scenario_.overrated && InFault()) {
    return std::max(1.0, 2.0 * Running(upstream) / site_.slots);
  }
  return InFault() ? scenario_.slow_factor : 1;
}

std::uint32_t site_trial::Running(std::size_t upstream) const {
  load_report load;
  upstreams_[upstream].queue->Describe(load);
  return load.running_short + load.running_long;
}

duration site_trial::RunTime(const call& request, std::size_t upstream) const {
  const double time_us = request.work_us * SlowdownFactor(upstream);
  const duration time(std::max(1LL, std::llround(time_us)));
  if (!scenario_.frozen || upstream != 0) return time;
  const duration since = clock_.Now() - start_ - site_.fault_begins;
  if (since < duration::zero() || since >= kFreezeTime) return time;
  return kFreezeTime - since + time;
}

double site_trial::Exponential(double mean) {
  return -mean * std::log(1 - random_.NextUnit());
}

outcome_counts site_trial::Run() {
  After(duration::zero(), [this] { Arrive(); });
  After(duration::zero(), [this] { Tick(); });
  for (std::size_t index = 0; index < ingress_.size(); ++index) {
    After(duration(random_.NextBelow(kProbeInterval.count())),
          [this, index] { Probe(index); });
  }
  if (scenario_.cold) {
    After(site_.fault_begins, [this] {
      StartUpstream(0);
      PublishMembers(0);
    });
  }
  if (scenario_.drains) {
    After(site_.fault_begins, [this] { DrainUpstream(); });
  }
  // After the last arrival, the calls in flight get up to four long deadlines
  // to complete.
  const time_point last =
      start_ + site_.arrivals_end + 4 * scenario_.long_deadline;
  while (!events_.empty() && events_.top().at <= last) {
    const event next = events_.top();
    events_.pop();
    clock_.Set(next.at);
    next.action();
    if (clock_.Now() - start_ > site_.arrivals_end && in_flight_ == 0) break;
  }
  for (const ingress_node& node : ingress_) CountProbes(node.probe_send_times);
  for (const upstream_node& node : upstreams_)
    CountProbes(node.probe_reply_times);
  const double capacity_us = Seconds(site_.fault_ends - site_.fault_begins) *
                             site_.upstreams * site_.slots *
                             kMicrosecondsPerSecond;
  counts_.overload_goodput = overload_work_us_ / capacity_us;
  return std::move(counts_);
}

void site_trial::DrainUpstream() {
  // The upstream leaves the membership one second after its drain began.
  upstreams_[0].queue->BeginDrain();
  After(std::chrono::seconds(1), [this] {
    PublishMembers(1);
    After(kDrainTime, [this] {
      StartUpstream(0);
      PublishMembers(0);
    });
  });
}

load_report site_trial::Report(std::size_t upstream) {
  upstream_node& node = upstreams_[upstream];
  load_report report{.incarnation = node.id.incarnation,
                     .sequence = ++node.sequence};
  node.queue->Describe(report);
  report.failure_per_mille =
      static_cast<std::uint32_t>(std::lround(node.failure_share * 1000));
  if (scenario_.false_reports && upstream == 0 && InFault()) {
    report.running_short = report.running_long = 0;
    report.queued_short = report.queued_long = 0;
    report.service_time_short_us = report.service_time_long_us = 0;
  }
  return report;
}

void site_trial::Probe(std::size_t ingress) {
  if (clock_.Now() - start_ > site_.arrivals_end) return;
  After(kProbeInterval, [this, ingress] { Probe(ingress); });
  if (!contender_.full_policy) return;
  ingress_node& node = ingress_[ingress];
  const auto stalest = node.view->StalestMember(kProbeAge);
  if (!stalest || !node.probes->TrySpend(kProbeBytes)) return;
  node.view->RecordProbe(*stalest);
  node.probe_send_times.push_back(clock_.Now());
  const auto found =
      std::ranges::find(upstreams_, *stalest, &upstream_node::id);
  if (found == upstreams_.end()) return;
  const auto to = static_cast<std::size_t>(found - upstreams_.begin());
  After(Delay(ingress, to), [this, ingress, to, id = *stalest] {
    upstream_node& asked = upstreams_[to];
    if (asked.id != id || !asked.probes->TrySpend(kProbeBytes)) return;
    asked.probe_reply_times.push_back(clock_.Now());
    const load_report report = Report(to);
    After(Delay(ingress, to), [this, ingress, id, report] {
      ingress_[ingress].view->RecordReport(id, report);
    });
  });
}

void site_trial::Tick() {
  const bool is_over =
      clock_.Now() - start_ > site_.arrivals_end && in_flight_ == 0;
  if (is_over) return;
  After(kTickInterval, [this] { Tick(); });
  for (std::size_t index = 0; index < upstreams_.size(); ++index) {
    Apply(index, upstreams_[index].queue->Expire());
  }
}

void site_trial::CountProbes(const std::vector<time_point>& log) {
  std::size_t first = 0;
  for (std::size_t last = 0; last < log.size(); ++last) {
    while (log[last] - log[first] > kProbeWindow) ++first;
    counts_.max_probes = std::max(counts_.max_probes, last - first + 1);
  }
  counts_.probes += log.size();
}

}  // namespace hornbeam::trial
