#include "policy/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {

constexpr std::uint32_t kPerMille = 1000;
// A call is rejected when less than this share of the usual service time is
// left before its deadline.
constexpr double kMinTimeShare = 0.5;

// Returns the number of entries of `queue` that are not after `key`. Counts
// from both ends at once, since most calls join at the back of a long queue.
template <class Queue>
std::size_t CountBefore(const Queue& queue,
                        const typename Queue::key_type& key) {
  const auto position = queue.upper_bound(key);
  std::size_t steps = 0;
  auto front = queue.begin();
  for (auto back = position; back != queue.end(); ++back, ++front, ++steps) {
    if (front == position) return steps;
  }
  return queue.size() - steps;
}

constexpr call_class kBothClasses[] = {call_class::kShort, call_class::kLong};

}  // namespace

std::string_view RejectionReasonName(rejection_reason reason) {
  switch (reason) {
    case rejection_reason::kNone:
      return "none";
    case rejection_reason::kDraining:
      return "draining";
    case rejection_reason::kQueueFull:
      return "queue_full";
    case rejection_reason::kDeadline:
      return "deadline";
    case rejection_reason::kEarly:
      return "early";
    case rejection_reason::kTryAnotherNode:
      return "better_place";
    case rejection_reason::kDuplicate:
      return "duplicate";
  }
  return "none";
}

admission_queue::admission_queue(const clock_source& clock,
                                 admission_options options)
    : clock_(clock),
      options_(options),
      classes_{
          class_state{.times = service_time_estimate(options.short_times)},
          class_state{.times = service_time_estimate(options.long_times)}} {}

admission_change admission_queue::SetSlots(std::uint32_t slots) {
  slots_ = slots;
  admission_change change;
  AdmitQueued(change);
  return change;
}

void admission_queue::BeginSlowStart() { slow_start_began_ = clock_.Now(); }

admission_decision admission_queue::Offer(const admission_request& request) {
  admission_decision answer;
  if (IsDraining()) answer.reason = rejection_reason::kDraining;
  if (queued_.contains(request.id) || running_.contains(request.id)) {
    answer.reason = rejection_reason::kDuplicate;
  }
  if (answer.reason != rejection_reason::kNone) return answer;

  if (StateOf(request.kind).queue.empty() && HasSlot(request.kind)) {
    answer.reason = Evaluate(request, duration::zero());
    if (answer.reason != rejection_reason::kNone) return answer;
    Start(request.id, request.kind);
    answer.verdict = admission_verdict::kAdmitted;
    return answer;
  }
  answer.expected_wait = ExpectedWait(request);
  answer.reason = Evaluate(request, answer.expected_wait);
  if (answer.reason != rejection_reason::kNone) return answer;
  Enqueue(request);
  answer.verdict = admission_verdict::kQueued;
  return answer;
}

admission_change admission_queue::Release(const request_id& id,
                                          std::optional<duration> ran_for) {
  admission_change change;
  const auto found = running_.find(id);
  if (found == running_.end()) return change;
  class_state& state = StateOf(found->second);
  running_.erase(found);
  if (ran_for) {
    state.times.RecordCompletion(clock_.Now(), *ran_for);
  } else {
    state.times.RecordAbandoned(clock_.Now());
  }
  AdmitQueued(change);
  return change;
}

cancel_verdict admission_queue::Cancel(const request_id& id) {
  if (running_.contains(id)) return cancel_verdict::kRunning;
  const auto found = queued_.find(id);
  if (found == queued_.end()) return cancel_verdict::kUnknown;
  StateOf(found->second.kind).queue.erase(found->second.key);
  queued_.erase(found);
  return cancel_verdict::kDropped;
}

admission_change admission_queue::Expire() {
  admission_change change;
  if (drain_end_ && clock_.Now() >= *drain_end_) {
    RejectQueued(rejection_reason::kDraining, change);
    return change;
  }
  AdmitQueued(change);
  return change;
}

std::optional<time_point> admission_queue::NextExpiry() const {
  std::optional<time_point> next;
  for (const call_class kind : kBothClasses) {
    const class_state& state = StateOf(kind);
    if (state.queue.empty()) continue;
    const duration needed(std::llround(ServiceUs(kind) * kMinTimeShare));
    const time_point due = state.queue.begin()->first.first - needed;
    next = next ? std::min(*next, due) : due;
  }
  if (next && drain_end_) next = std::min(*next, *drain_end_);
  return next;
}

void admission_queue::BeginDrain() {
  if (!drain_end_) drain_end_ = clock_.Now() + options_.drain_queue_time;
}

bool admission_queue::IsIdle() const {
  return queued_.empty() && running_.empty();
}

std::uint32_t admission_queue::ReportedUs(
    const service_time_estimate& times) const {
  if (!times.IsKnown()) return 0;
  return static_cast<std::uint32_t>(std::lround(times.Estimate(clock_.Now())));
}

void admission_queue::Describe(load_report& report) const {
  const class_state& short_calls = StateOf(call_class::kShort);
  const class_state& long_calls = StateOf(call_class::kLong);
  report.slot_limit = SlotsNow();
  report.running_short = short_calls.times.Running();
  report.running_long = long_calls.times.Running();
  report.queued_short = static_cast<std::uint32_t>(short_calls.queue.size());
  report.queued_long = static_cast<std::uint32_t>(long_calls.queue.size());
  report.service_time_short_us = ReportedUs(short_calls.times);
  report.service_time_long_us = ReportedUs(long_calls.times);
  report.draining = IsDraining();
}

const admission_queue::class_state& admission_queue::StateOf(
    call_class kind) const {
  return classes_[static_cast<std::size_t>(kind)];
}

admission_queue::class_state& admission_queue::StateOf(call_class kind) {
  return classes_[static_cast<std::size_t>(kind)];
}

std::uint32_t admission_queue::SlotsNow() const {
  if (!slow_start_began_) return slots_;
  const duration elapsed = clock_.Now() - *slow_start_began_;
  if (elapsed >= options_.slow_start_time) return slots_;
  const std::uint32_t first = std::min(options_.slow_start_slots, slots_);
  const auto gained = static_cast<std::uint32_t>(
      (slots_ - first) * elapsed.count() / options_.slow_start_time.count());
  return first + gained;
}

std::uint32_t admission_queue::LongSlots(std::uint32_t slots) const {
  return std::max(1U, slots * options_.long_share_per_mille / kPerMille);
}

std::uint32_t admission_queue::Running() const {
  return StateOf(call_class::kShort).times.Running() +
         StateOf(call_class::kLong).times.Running();
}

double admission_queue::ServiceUs(call_class kind) const {
  return StateOf(kind).times.Estimate(clock_.Now());
}

bool admission_queue::HasSlot(call_class kind) const {
  const std::uint32_t slots = SlotsNow();
  if (Running() >= slots) return false;
  if (kind == call_class::kShort) return true;
  return StateOf(call_class::kLong).times.Running() < LongSlots(slots);
}

duration admission_queue::ExpectedWait(const admission_request& request) const {
  const class_state& state = StateOf(request.kind);
  const queue_key last_before{request.deadline, last_arrival_ + 1};
  const std::size_t ahead = CountBefore(state.queue, last_before);
  const auto short_queued = StateOf(call_class::kShort).queue.size();
  const bool is_long = request.kind == call_class::kLong;
  const auto before = static_cast<double>(ahead) + 1 +
                      static_cast<double>(is_long ? short_queued : 0);
  const double long_completions =
      StateOf(call_class::kLong).times.Running() / ServiceUs(call_class::kLong);
  const double short_completions = StateOf(call_class::kShort).times.Running() /
                                   ServiceUs(call_class::kShort);
  const bool capped = is_long && StateOf(call_class::kLong).times.Running() >=
                                     LongSlots(SlotsNow());
  const double completions_per_us =
      capped ? long_completions : long_completions + short_completions;
  // No call is running that could free a slot, which happens only with a limit
  // of 0.
  if (completions_per_us <= 0) return options_.slow_start_time;
  return duration(std::llround(before / completions_per_us));
}

rejection_reason admission_queue::Evaluate(const admission_request& request,
                                           duration wait) const {
  const auto service =
      duration(std::llround(ServiceUs(request.kind) * kMinTimeShare));
  if (clock_.Now() + wait + service > request.deadline) {
    return rejection_reason::kDeadline;
  }
  if (wait == duration::zero()) return rejection_reason::kNone;
  const bool is_short = request.kind == call_class::kShort;
  const std::size_t max_queued =
      is_short ? options_.max_queued_short : options_.max_queued_long;
  if (StateOf(request.kind).queue.size() >= max_queued)
    return rejection_reason::kQueueFull;
  if (wait > request.wait_limit) return rejection_reason::kTryAnotherNode;
  if (is_short && options_.overload == overload_policy::kRejectEarly &&
      wait > options_.early_wait) {
    return rejection_reason::kEarly;
  }
  return rejection_reason::kNone;
}

std::optional<call_class> admission_queue::NextClass() const {
  const class_state& long_calls = StateOf(call_class::kLong);
  const bool long_ready =
      !long_calls.queue.empty() && HasSlot(call_class::kLong);
  const bool long_has_priority =
      long_calls.times.Running() < options_.guaranteed_long_slots;
  if (long_ready && long_has_priority) return call_class::kLong;
  const bool short_ready =
      !StateOf(call_class::kShort).queue.empty() && HasSlot(call_class::kShort);
  if (short_ready) return call_class::kShort;
  if (long_ready) return call_class::kLong;
  return std::nullopt;
}

void admission_queue::Start(const request_id& id, call_class kind) {
  StateOf(kind).times.RecordStart(clock_.Now());
  running_.emplace(id, kind);
}

void admission_queue::Enqueue(const admission_request& request) {
  const queue_key key{request.deadline, ++last_arrival_};
  StateOf(request.kind).queue.emplace(key, request.id);
  queued_.emplace(request.id, queued_call{.key = key, .kind = request.kind});
}

void admission_queue::RejectOverdue(admission_change& change) {
  for (const call_class kind : kBothClasses) {
    const duration needed(std::llround(ServiceUs(kind) * kMinTimeShare));
    const time_point earliest_deadline = clock_.Now() + needed;
    auto& queue = StateOf(kind).queue;
    while (!queue.empty() && queue.begin()->first.first < earliest_deadline) {
      change.rejected.push_back(rejected_call{
          .id = queue.begin()->second, .reason = rejection_reason::kDeadline});
      queued_.erase(queue.begin()->second);
      queue.erase(queue.begin());
    }
  }
}

void admission_queue::RejectQueued(rejection_reason reason,
                                   admission_change& change) {
  for (const call_class kind : kBothClasses) {
    for (const auto& [key, id] : StateOf(kind).queue) {
      change.rejected.push_back(rejected_call{.id = id, .reason = reason});
    }
    StateOf(kind).queue.clear();
  }
  queued_.clear();
}

void admission_queue::AdmitQueued(admission_change& change) {
  RejectOverdue(change);
  while (const std::optional<call_class> kind = NextClass()) {
    auto& queue = StateOf(*kind).queue;
    const request_id id = queue.begin()->second;
    queue.erase(queue.begin());
    queued_.erase(id);
    Start(id, *kind);
    change.admitted.push_back(id);
  }
}

}  // namespace hornbeam
