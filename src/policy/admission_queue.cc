#include "policy/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {

constexpr std::uint32_t kPerMille = 1000;
// A call is rejected when less than this share of the usual service time is
// left before its deadline.
constexpr double kLeastTimeShare = 0.5;

// Returns the number of entries of `queue` that are not after `key`. Counts
// from both ends at once, since most calls join at the back of a long queue.
template <class Queue>
std::size_t CountBefore(const Queue& queue,
                        const typename Queue::key_type& key) {
  const auto place = queue.upper_bound(key);
  std::size_t steps = 0;
  auto front = queue.begin();
  for (auto back = place; back != queue.end(); ++back, ++front, ++steps) {
    if (front == place) return steps;
  }
  return queue.size() - steps;
}

constexpr call_class kBothClasses[] = {call_class::kShort, call_class::kLong};

}  // namespace

std::string_view RefusalReasonName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kDraining:
      return "draining";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kDeadline:
      return "deadline";
    case refusal_reason::kEarly:
      return "early";
    case refusal_reason::kBetterPlace:
      return "better_place";
    case refusal_reason::kDuplicate:
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

admission_answer admission_queue::Offer(const admission_request& request) {
  admission_answer answer;
  if (IsDraining()) answer.reason = refusal_reason::kDraining;
  if (queued_.contains(request.id) || running_.contains(request.id)) {
    answer.reason = refusal_reason::kDuplicate;
  }
  if (answer.reason != refusal_reason::kNone) return answer;

  if (Of(request.kind).queue.empty() && HasSlot(request.kind)) {
    answer.reason = Judge(request, duration::zero());
    if (answer.reason != refusal_reason::kNone) return answer;
    Start(request.id, request.kind);
    answer.verdict = admission_verdict::kAdmitted;
    return answer;
  }
  answer.expected_wait = ExpectedWait(request);
  answer.reason = Judge(request, answer.expected_wait);
  if (answer.reason != refusal_reason::kNone) return answer;
  Enqueue(request);
  answer.verdict = admission_verdict::kQueued;
  return answer;
}

admission_change admission_queue::Release(const request_id& id,
                                          std::optional<duration> ran_for) {
  admission_change change;
  const auto found = running_.find(id);
  if (found == running_.end()) return change;
  class_state& state = Of(found->second);
  running_.erase(found);
  if (ran_for) {
    state.times.RecordEnd(clock_.Now(), *ran_for);
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
  Of(found->second.kind).queue.erase(found->second.key);
  queued_.erase(found);
  return cancel_verdict::kDropped;
}

admission_change admission_queue::Expire() {
  admission_change change;
  if (drain_ends_ && clock_.Now() >= *drain_ends_) {
    RefuseQueued(refusal_reason::kDraining, change);
    return change;
  }
  AdmitQueued(change);
  return change;
}

std::optional<time_point> admission_queue::NextExpiry() const {
  std::optional<time_point> next;
  for (const call_class kind : kBothClasses) {
    const class_state& state = Of(kind);
    if (state.queue.empty()) continue;
    const duration needed(std::llround(ServiceUs(kind) * kLeastTimeShare));
    const time_point due = state.queue.begin()->first.first - needed;
    next = next ? std::min(*next, due) : due;
  }
  if (next && drain_ends_) next = std::min(*next, *drain_ends_);
  return next;
}

void admission_queue::BeginDrain() {
  if (!drain_ends_) drain_ends_ = clock_.Now() + options_.drain_queue_time;
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
  const class_state& short_calls = Of(call_class::kShort);
  const class_state& long_calls = Of(call_class::kLong);
  report.slot_limit = SlotsNow();
  report.running_short = short_calls.times.Running();
  report.running_long = long_calls.times.Running();
  report.queued_short = static_cast<std::uint32_t>(short_calls.queue.size());
  report.queued_long = static_cast<std::uint32_t>(long_calls.queue.size());
  report.service_time_short_us = ReportedUs(short_calls.times);
  report.service_time_long_us = ReportedUs(long_calls.times);
  report.draining = IsDraining();
}

const admission_queue::class_state& admission_queue::Of(call_class kind) const {
  return classes_[static_cast<std::size_t>(kind)];
}

admission_queue::class_state& admission_queue::Of(call_class kind) {
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
  return Of(call_class::kShort).times.Running() +
         Of(call_class::kLong).times.Running();
}

double admission_queue::ServiceUs(call_class kind) const {
  return Of(kind).times.Estimate(clock_.Now());
}

bool admission_queue::HasSlot(call_class kind) const {
  const std::uint32_t slots = SlotsNow();
  if (Running() >= slots) return false;
  if (kind == call_class::kShort) return true;
  return Of(call_class::kLong).times.Running() < LongSlots(slots);
}

duration admission_queue::ExpectedWait(const admission_request& request) const {
  const class_state& state = Of(request.kind);
  const queue_key last_before{request.deadline, last_arrival_ + 1};
  const std::size_t ahead = CountBefore(state.queue, last_before);
  const auto short_queued = Of(call_class::kShort).queue.size();
  const bool is_long = request.kind == call_class::kLong;
  const auto before = static_cast<double>(ahead) + 1 +
                      static_cast<double>(is_long ? short_queued : 0);
  const double long_ends =
      Of(call_class::kLong).times.Running() / ServiceUs(call_class::kLong);
  const double short_ends =
      Of(call_class::kShort).times.Running() / ServiceUs(call_class::kShort);
  const bool capped =
      is_long && Of(call_class::kLong).times.Running() >= LongSlots(SlotsNow());
  const double ends_per_us = capped ? long_ends : long_ends + short_ends;
  // No call is running that could free a slot, which happens only with a limit
  // of 0.
  if (ends_per_us <= 0) return options_.slow_start_time;
  return duration(std::llround(before / ends_per_us));
}

refusal_reason admission_queue::Judge(const admission_request& request,
                                      duration wait) const {
  const auto service =
      duration(std::llround(ServiceUs(request.kind) * kLeastTimeShare));
  if (clock_.Now() + wait + service > request.deadline) {
    return refusal_reason::kDeadline;
  }
  if (wait == duration::zero()) return refusal_reason::kNone;
  const bool is_short = request.kind == call_class::kShort;
  const std::size_t most =
      is_short ? options_.max_queued_short : options_.max_queued_long;
  if (Of(request.kind).queue.size() >= most) return refusal_reason::kQueueFull;
  if (wait > request.wait_limit) return refusal_reason::kBetterPlace;
  if (is_short && options_.crest == crest_policy::kRefuseEarly &&
      wait > options_.early_wait) {
    return refusal_reason::kEarly;
  }
  return refusal_reason::kNone;
}

std::optional<call_class> admission_queue::NextClass() const {
  const class_state& long_calls = Of(call_class::kLong);
  const bool long_ready =
      !long_calls.queue.empty() && HasSlot(call_class::kLong);
  const bool long_is_due =
      long_calls.times.Running() < options_.guaranteed_long_slots;
  if (long_ready && long_is_due) return call_class::kLong;
  const bool short_ready =
      !Of(call_class::kShort).queue.empty() && HasSlot(call_class::kShort);
  if (short_ready) return call_class::kShort;
  if (long_ready) return call_class::kLong;
  return std::nullopt;
}

void admission_queue::Start(const request_id& id, call_class kind) {
  Of(kind).times.RecordStart(clock_.Now());
  running_.emplace(id, kind);
}

void admission_queue::Enqueue(const admission_request& request) {
  const queue_key key{request.deadline, ++last_arrival_};
  Of(request.kind).queue.emplace(key, request.id);
  queued_.emplace(request.id, queued_call{.key = key, .kind = request.kind});
}

void admission_queue::DropLate(admission_change& change) {
  for (const call_class kind : kBothClasses) {
    const duration needed(std::llround(ServiceUs(kind) * kLeastTimeShare));
    const time_point least = clock_.Now() + needed;
    auto& queue = Of(kind).queue;
    while (!queue.empty() && queue.begin()->first.first < least) {
      change.refused.push_back(refused_call{
          .id = queue.begin()->second, .reason = refusal_reason::kDeadline});
      queued_.erase(queue.begin()->second);
      queue.erase(queue.begin());
    }
  }
}

void admission_queue::RefuseQueued(refusal_reason reason,
                                   admission_change& change) {
  for (const call_class kind : kBothClasses) {
    for (const auto& [key, id] : Of(kind).queue) {
      change.refused.push_back(refused_call{.id = id, .reason = reason});
    }
    Of(kind).queue.clear();
  }
  queued_.clear();
}

void admission_queue::AdmitQueued(admission_change& change) {
  DropLate(change);
  while (const std::optional<call_class> kind = NextClass()) {
    auto& queue = Of(*kind).queue;
    const request_id id = queue.begin()->second;
    queue.erase(queue.begin());
    queued_.erase(id);
    Start(id, *kind);
    change.admitted.push_back(id);
  }
}

}  // namespace hornbeam
