#include "policy/crest_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace hornbeam {

namespace {

// Share of its time before the deadline for which a call that misses its
// objective waits.
constexpr double kLateWaitShare = 0.3;
// The newest call goes first while more than this share of the limit waits.
constexpr double kManyWaitingShare = 0.25;
// Weight of one call in the moving average of the expected service time.
constexpr double kMeanWeight = 0.1;

// Returns the latest start at which a call probably meets its objective. The
// result lies before `now` when the call already misses it.
time_point StartBy(const crest_call& call, time_point now) {
  const duration spare = call.objective_at - now - call.expected;
  if (spare <= duration(0)) return now + spare;
  return now + duration(static_cast<std::int64_t>(
                   static_cast<double>(spare.count()) * call.wait_share));
}

}  // namespace

void crest_queue::SetLimits(std::uint32_t limit, std::uint32_t brief_limit) {
  limit_ = limit;
  brief_limit_ = std::max(limit, brief_limit);
}

void crest_queue::Shut(duration reopens_in) {
  shut_ = true;
  reopens_in_ = reopens_in;
}

crest_change crest_queue::Open(time_point now) {
  shut_ = false;
  return Advance(now);
}

bool crest_queue::Before(const entry& a, const entry& b) const {
  const auto rank = [](const entry& each) {
    return std::tuple(each.late, each.call.priority);
  };
  if (rank(a) != rank(b)) return rank(a) < rank(b);
  if (!newest_first_ || a.late) {
    return std::tuple(a.call.objective_at, a.arrival) <
           std::tuple(b.call.objective_at, b.arrival);
  }
  if (a.call.brief != b.call.brief) return a.call.brief;
  return a.arrival > b.arrival;
}

bool crest_queue::HasSlot(const crest_call& call) const {
  return !shut_ && running_ < (call.brief ? brief_limit_ : limit_);
}

// Estimates the wait from the rate at which calls of the mean expected length
// free their slots.
duration crest_queue::ExpectedWait(const entry& offered) const {
  if (limit_ == 0) return duration::max();
  const auto is_rival = [&](const entry& each) {
    return HasSlot(each.call) && !Before(offered, each);
  };
  if (HasSlot(offered.call) && std::ranges::none_of(waiting_, is_rival)) {
    return duration(0);
  }
  const auto ahead = static_cast<double>(std::ranges::count_if(
      waiting_, [&](const entry& each) { return !Before(offered, each); }));
  const double busy = static_cast<double>(running_) - limit_ + 1;
  const double calls = ahead + std::max(busy, 0.0);
  const double mean_us =
      mean_expected_us_ > 0
          ? mean_expected_us_
          : static_cast<double>(offered.call.expected.count());
  const duration opens = shut_ ? reopens_in_ : duration(0);
  return opens + duration(static_cast<std::int64_t>(calls * mean_us / limit_));
}

duration crest_queue::Backlog() const {
  if (limit_ == 0) return duration(0);
  const duration opens = shut_ ? reopens_in_ : duration(0);
  const double busy = static_cast<double>(running_) - limit_ + 1;
  const double calls =
      std::max(static_cast<double>(waiting_.size()) + busy, 0.0);
  return opens + duration(static_cast<std::int64_t>(calls * mean_expected_us_ /
                                                    limit_));
}

crest_decision crest_queue::Offer(const crest_call& call, time_point now) {
  entry offered{
      .call = call, .start_by = StartBy(call, now), .arrival = ++arrivals_};
  if (offered.start_by < now) MakeLate(offered, now);
  const bool hopeless = now + call.expected > call.deadline;
  crest_decision decision{.wait = ExpectedWait(offered)};
  const bool is_next = decision.wait == duration(0) && HasSlot(call);
  if (is_next && (!offered.late || call.settles) && !hopeless) {
    ++running_;
    const auto expected = static_cast<double>(call.expected.count());
    mean_expected_us_ += mean_expected_us_ > 0
                             ? kMeanWeight * (expected - mean_expected_us_)
                             : expected;
    return decision;
  }
  if (!offered.late && decision.wait > offered.start_by - now) {
    MakeLate(offered, now);
    decision.wait = ExpectedWait(offered);
  }
  const time_point last_start =
      offered.late ? offered.give_up_at : call.deadline - call.expected;
  const bool is_served =
      decision.wait != duration::max() && now + decision.wait <= last_start;
  if (!is_served && !(offered.late && !call.settles)) {
    decision.verdict = crest_verdict::kHopeless;
  } else if (offered.late && !call.settles) {
    decision.verdict = crest_verdict::kLate;
  } else {
    decision.verdict = crest_verdict::kQueued;
    Insert(offered);
  }
  return decision;
}

// Bounds the wait of a call that misses its objective: it is served when a slot
// is free soon; otherwise its caller does better to retry.
void crest_queue::MakeLate(entry& each, time_point now) {
  each.late = true;
  const duration left =
      std::max(each.call.deadline - each.call.expected - now, duration(0));
  each.give_up_at = now + duration(static_cast<std::int64_t>(
                              (each.call.brief ? 1.0 : kLateWaitShare) *
                              static_cast<double>(left.count())));
}

void crest_queue::Insert(const entry& added) {
  const auto place = std::ranges::upper_bound(
      waiting_, added,
      [this](const entry& a, const entry& b) { return Before(a, b); });
  waiting_.insert(place, added);
}

void crest_queue::ChooseOrder() {
  const bool many =
      static_cast<double>(waiting_.size()) > kManyWaitingShare * limit_;
  if (many == std::exchange(newest_first_, many)) return;
  std::ranges::sort(waiting_, [this](const entry& a, const entry& b) {
    return Before(a, b);
  });
}

crest_change crest_queue::Release(time_point now) {
  if (running_ > 0) --running_;
  return Advance(now);
}

crest_change crest_queue::Advance(time_point now) {
  crest_change change;
  Fill(change);
  ChooseOrder();
  TakeOverdue(now, change);
  return change;
}

void crest_queue::TakeOverdue(time_point now, crest_change& change) {
  const double turn_us = limit_ == 0 ? 0 : mean_expected_us_ / limit_;
  const bool is_busy = !shut_ && limit_ > 0 && running_ >= limit_;
  double ahead = 1;
  std::vector<entry> now_late;
  std::erase_if(waiting_, [&](entry& each) {
    const bool hopeless = now + each.call.expected > each.call.deadline;
    if (hopeless || (each.late && now >= each.give_up_at)) {
      change.hopeless.push_back(each.call.id);
      return true;
    }
    const auto turn = duration(static_cast<std::int64_t>(ahead * turn_us));
    const bool is_pushed_out = newest_first_ && is_busy && !each.call.brief &&
                               now + turn > each.start_by;
    if (each.late || (now <= each.start_by && !is_pushed_out)) {
      ++ahead;
      return false;
    }
    MakeLate(each, now);
    if (each.call.settles) {
      now_late.push_back(each);
    } else {
      change.late.push_back(each.call.id);
    }
    return true;
  });
  for (const entry& each : now_late) Insert(each);
}

void crest_queue::Fill(crest_change& change) {
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

bool crest_queue::Cancel(const request_id& id) {
  return std::erase_if(waiting_, [&id](const entry& each) {
           return each.call.id == id;
         }) > 0;
}

std::vector<request_id> crest_queue::Clear() {
  std::vector<request_id> all;
  std::ranges::transform(waiting_, std::back_inserter(all),
                         [](const entry& each) { return each.call.id; });
  waiting_.clear();
  return all;
}

std::optional<time_point> crest_queue::NextChange() const {
  std::optional<time_point> next;
  for (const entry& each : waiting_) {
    const time_point hopeless_at = each.call.deadline - each.call.expected;
    const time_point at =
        each.late ? each.give_up_at : std::min(each.start_by, hopeless_at);
    if (!next || at < *next) next = at;
  }
  return next;
}

}  // namespace hornbeam
