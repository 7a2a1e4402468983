#include "policy/shedding_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace hornbeam {

namespace {

// Share of the time until its latest start before the deadline that a call
// waits once it misses its objective. Expedited calls may wait for all of it.
constexpr double kMissedObjectiveWaitShare = 0.3;
// The newest call goes first while more than this share of the limit waits.
constexpr double kNewestFirstShare = 0.25;
// Weight of one call in the moving average of the expected service time.
constexpr double kMeanWeight = 0.1;

// Returns the latest start at which a call probably meets its objective. The
// result lies before `now` when the call already misses it.
time_point StartBy(const shedding_call& call, time_point now) {
  const duration spare = call.objective_at - now - call.expected;
  if (spare <= duration(0)) return now + spare;
  return now + duration(static_cast<std::int64_t>(
                   static_cast<double>(spare.count()) * call.wait_share));
}

}  // namespace

void shedding_queue::SetLimits(std::uint32_t limit,
                               std::uint32_t expedited_limit) {
  limit_ = limit;
  expedited_limit_ = std::max(limit, expedited_limit);
}

void shedding_queue::Pause(duration resumes_in) {
  paused_ = true;
  resumes_in_ = resumes_in;
}

shedding_change shedding_queue::Resume(time_point now) {
  paused_ = false;
  return Advance(now);
}

bool shedding_queue::RunsBefore(const entry& a, const entry& b) const {
  const auto rank = [](const entry& each) {
    return std::tuple(each.misses_objective, each.call.priority);
  };
  if (rank(a) != rank(b)) return rank(a) < rank(b);
  if (!newest_first_ || a.misses_objective) {
    return std::tuple(a.call.objective_at, a.arrival) <
           std::tuple(b.call.objective_at, b.arrival);
  }
  if (a.call.expedited != b.call.expedited) return a.call.expedited;
  return a.arrival > b.arrival;
}

bool shedding_queue::HasSlot(const shedding_call& call) const {
  return !paused_ && running_ < (call.expedited ? expedited_limit_ : limit_);
}

// Estimates the wait from the rate at which calls of the mean expected length
// free their slots. Returns duration::max() with a limit of 0.
duration shedding_queue::ExpectedWait(const entry& offered) const {
  if (limit_ == 0) return duration::max();
  const auto is_rival = [&](const entry& each) {
    return HasSlot(each.call) && !RunsBefore(offered, each);
  };
  if (HasSlot(offered.call) && std::ranges::none_of(waiting_, is_rival)) {
    return duration(0);
  }
  const auto ahead = static_cast<double>(std::ranges::count_if(
      waiting_, [&](const entry& each) { return !RunsBefore(offered, each); }));
  const double busy = static_cast<double>(running_) - limit_ + 1;
  const double calls = ahead + std::max(busy, 0.0);
  const double mean_us =
      mean_expected_us_ > 0
          ? mean_expected_us_
          : static_cast<double>(offered.call.expected.count());
  const duration pause_left = paused_ ? resumes_in_ : duration(0);
  return pause_left +
         duration(static_cast<std::int64_t>(calls * mean_us / limit_));
}

duration shedding_queue::Backlog() const {
  if (limit_ == 0) return duration(0);
  const duration pause_left = paused_ ? resumes_in_ : duration(0);
  const double busy = static_cast<double>(running_) - limit_ + 1;
  const double calls =
      std::max(static_cast<double>(waiting_.size()) + busy, 0.0);
  return pause_left + duration(static_cast<std::int64_t>(
                          calls * mean_expected_us_ / limit_));
}

shedding_decision shedding_queue::Offer(const shedding_call& call,
                                        time_point now) {
  entry offered{
      .call = call, .start_by = StartBy(call, now), .arrival = ++arrivals_};
  if (offered.start_by < now) MarkMissesObjective(offered, now);
  const bool misses_deadline = now + call.expected > call.deadline;
  shedding_decision decision{.wait = ExpectedWait(offered)};
  const bool can_start_now = decision.wait == duration(0) && HasSlot(call);
  if (can_start_now && (!offered.misses_objective || call.no_alternative) &&
      !misses_deadline) {
    ++running_;
    const auto expected = static_cast<double>(call.expected.count());
    mean_expected_us_ += mean_expected_us_ > 0
                             ? kMeanWeight * (expected - mean_expected_us_)
                             : expected;
    return decision;
  }
  if (!offered.misses_objective && decision.wait > offered.start_by - now) {
    MarkMissesObjective(offered, now);
    decision.wait = ExpectedWait(offered);
  }
  const time_point last_start = offered.misses_objective
                                    ? offered.reject_at
                                    : call.deadline - call.expected;
  const bool is_served =
      decision.wait != duration::max() && now + decision.wait <= last_start;
  if (!is_served && !(offered.misses_objective && !call.no_alternative)) {
    decision.verdict = shedding_verdict::kMissesDeadline;
  } else if (offered.misses_objective && !call.no_alternative) {
    decision.verdict = shedding_verdict::kMissesObjective;
  } else {
    decision.verdict = shedding_verdict::kQueued;
    Insert(offered);
  }
  return decision;
}

// Bounds the wait of a call that misses its objective: it is served when a slot
// is free soon; otherwise its caller does better to retry.
void shedding_queue::MarkMissesObjective(entry& each, time_point now) {
  each.misses_objective = true;
  const duration left =
      std::max(each.call.deadline - each.call.expected - now, duration(0));
  each.reject_at =
      now + duration(static_cast<std::int64_t>(
                (each.call.expedited ? 1.0 : kMissedObjectiveWaitShare) *
                static_cast<double>(left.count())));
}

void shedding_queue::Insert(const entry& added) {
  const auto position = std::ranges::upper_bound(
      waiting_, added,
      [this](const entry& a, const entry& b) { return RunsBefore(a, b); });
  waiting_.insert(position, added);
}

void shedding_queue::UpdateOrder() {
  const bool many =
      static_cast<double>(waiting_.size()) > kNewestFirstShare * limit_;
  if (many == std::exchange(newest_first_, many)) return;
  std::ranges::sort(waiting_, [this](const entry& a, const entry& b) {
    return RunsBefore(a, b);
  });
}

shedding_change shedding_queue::Release(time_point now) {
  if (running_ > 0) --running_;
  return Advance(now);
}

shedding_change shedding_queue::Advance(time_point now) {
  shedding_change change;
  AdmitWaiting(change);
  UpdateOrder();
  RemoveOverdue(now, change);
  return change;
}

void shedding_queue::RemoveOverdue(time_point now, shedding_change& change) {
  const double turn_us = limit_ == 0 ? 0 : mean_expected_us_ / limit_;
  const bool is_busy = !paused_ && limit_ > 0 && running_ >= limit_;
  double ahead = 1;
  std::vector<entry> now_missing_objective;
  std::erase_if(waiting_, [&](entry& each) {
    const bool misses_deadline = now + each.call.expected > each.call.deadline;
    if (misses_deadline || (each.misses_objective && now >= each.reject_at)) {
      change.missing_deadline.push_back(each.call.id);
      return true;
    }
    const auto turn = duration(static_cast<std::int64_t>(ahead * turn_us));
    const bool is_pushed_out = newest_first_ && is_busy &&
                               !each.call.expedited &&
                               now + turn > each.start_by;
    if (each.misses_objective || (now <= each.start_by && !is_pushed_out)) {
      ++ahead;
      return false;
    }
    MarkMissesObjective(each, now);
    if (each.call.no_alternative) {
      now_missing_objective.push_back(each);
    } else {
      change.missing_objective.push_back(each.call.id);
    }
    return true;
  });
  for (const entry& each : now_missing_objective) Insert(each);
}

void shedding_queue::AdmitWaiting(shedding_change& change) {
  const auto has_slot = [this](const entry& each) {
    return HasSlot(each.call);
  };
  while (true) {
    const auto found = std::ranges::find_if(waiting_, has_slot);
    if (found == waiting_.end()) return;
    const entry next = *found;
    waiting_.erase(found);
    ++running_;
    const auto expected = static_cast<double>(next.call.expected.count());
    mean_expected_us_ += kMeanWeight * (expected - mean_expected_us_);
    change.admitted.push_back(next.call.id);
  }
}

bool shedding_queue::Cancel(const request_id& id) {
  return std::erase_if(waiting_, [&id](const entry& each) {
           return each.call.id == id;
         }) > 0;
}

std::vector<request_id> shedding_queue::Clear() {
  std::vector<request_id> all;
  std::ranges::transform(waiting_, std::back_inserter(all),
                         [](const entry& each) { return each.call.id; });
  waiting_.clear();
  return all;
}

std::optional<time_point> shedding_queue::NextChange() const {
  std::optional<time_point> next;
  for (const entry& each : waiting_) {
    const time_point latest_start = each.call.deadline - each.call.expected;
    const time_point at = each.misses_objective
                              ? each.reject_at
                              : std::min(each.start_by, latest_start);
    if (!next || at < *next) next = at;
  }
  return next;
}

}  // namespace hornbeam
