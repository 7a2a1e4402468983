#include "support/fleet_replay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <optional>
#include <string_view>
#include <vector>

#include "base/seeded_random_source.h"
#include "policy/route_times.h"
#include "policy/shedding_queue.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr duration kTick = milliseconds(1);
constexpr duration kCrossZoneRoundTrip = milliseconds(4);
constexpr double kFullSpeedShare = 0.8;
constexpr double kSlowFactor = 5;
constexpr double kSlowdownMs = 150;
constexpr double kSlowdownPauseMs = 450;
constexpr double kSpeedSpread = 0.25;
constexpr double kWorkSigma = 0.4;
constexpr double kWaitShare = 0.6;

duration FromMs(double ms) {
  return duration(static_cast<std::int64_t>(ms * 1000));
}

double ToMs(duration length) {
  return static_cast<double>(length.count()) / 1000;
}

struct replay_call {
  std::uint64_t id = 0;
  std::size_t ingress = 0;
  time_point started;
  time_point objective_at;
  time_point deadline;
  double work_ms = 0;
  bool is_short = false;
  std::vector<std::size_t> rejected_by;
  bool no_alternative = false;
};

struct running_call {
  std::uint64_t id = 0;
  double left_ms = 0;
  time_point since;
  bool started_slow = false;
};

struct replay_upstream {
  shedding_queue queue;
  std::vector<running_call> running;
  double speed = 1;
  route_times times;
  bool slow = false;
  time_point slow_change;
  std::uint64_t sequence = 0;
  std::size_t received = 0;
  bool joined = true;
};

struct known_report {
  load_report report;
  bool reported = false;
  time_point reported_at;
  std::uint32_t dispatched = 0;
};

class replay {
 public:
  explicit replay(const fleet_replay_options& options)
      : options_(options), random_(options.seed) {
    upstreams_.resize(options.upstreams);
    const auto limit =
        static_cast<std::uint32_t>(std::floor(kFullSpeedShare * options.slots));
    for (std::size_t each = 0; each < upstreams_.size(); ++each) {
      replay_upstream& upstream = upstreams_[each];
      upstream.queue.SetLimits(limit, options.slots);
      upstream.speed = 1 + kSpeedSpread * (2 * random_.NextUnit() - 1);
      upstream.slow_change = kStart + FromMs(kSlowdownPauseMs * Exponential());
      upstream.joined = each >= options.cold_upstreams;
    }
    views_.assign(options.nodes, std::vector<known_report>(options.upstreams));
    const double mean_work_ms =
        options.short_share * options.short_route.work_ms +
        (1 - options.short_share) * options.long_route.work_ms;
    const double capacity_per_ms =
        static_cast<double>(options.upstreams * limit) / mean_work_ms;
    rate_per_ms_ = options.load * capacity_per_ms;
  }

  fleet_replay_result Run() {
    const time_point end = kStart + FromMs(options_.seconds * 1000);
    const time_point join_at = kStart + FromMs(options_.seconds * 1000 / 3);
    double due = Exponential();
    for (now_ = kStart; now_ < end || !calls_.empty(); now_ += kTick) {
      if (now_ >= join_at) {
        for (replay_upstream& each : upstreams_) each.joined = true;
      }
      for (replay_upstream& each : upstreams_) Work(each);
      Deliver();
      if (now_ >= end) continue;
      due -= rate_per_ms_ * ToMs(kTick);
      for (; due <= 0; due += Exponential()) Arrive();
    }
    for (std::size_t each = 0; each < upstreams_.size(); ++each) {
      if (upstreams_[each].received > 0) continue;
      ++result_.idle_upstreams;
      if (each < options_.cold_upstreams) ++result_.idle_joined;
    }
    const auto choices = static_cast<double>(result_.dispatches);
    result_.report_age_ms = age_ms_ / std::max(fresh_ + stale_, 1.0);
    result_.fresh_share = fresh_ / std::max(choices, 1.0);
    result_.mean_ms = total_ms_ / static_cast<double>(result_.answered);
    return result_;
  }

 private:
  double Exponential() { return -std::log(1 - random_.NextUnit()); }

  double Work(double mean_ms) {
    const double normal = std::sqrt(2 * Exponential()) *
                          std::cos(2 * std::numbers::pi * random_.NextUnit());
    return mean_ms *
           std::exp(kWorkSigma * normal - kWorkSigma * kWorkSigma / 2);
  }

  static std::string_view RouteName(const replay_call& call) {
    return call.is_short ? "short" : "long";
  }

  std::size_t Zone(std::size_t index) const { return index % options_.zones; }

  void Arrive() {
    const std::uint64_t id = ++last_id_;
    const bool is_short = random_.NextUnit() < options_.short_share;
    const replay_route& route =
        is_short ? options_.short_route : options_.long_route;
    replay_call& call = calls_[id];
    call = {.id = id,
            .ingress = random_.NextBelow(options_.nodes),
            .started = now_,
            .objective_at = now_ + FromMs(route.objective_ms),
            .deadline = now_ + FromMs(route.deadline_ms),
            .work_ms = Work(route.work_ms),
            .is_short = is_short};
    ++result_.calls;
    Place(call);
  }

  load_report Report(replay_upstream& upstream) const {
    return {
        .sequence = ++upstream.sequence,
        .slot_limit = upstream.queue.Limit(),
        .running_short = static_cast<std::uint32_t>(upstream.queue.Running()),
        .queued_short = static_cast<std::uint32_t>(upstream.queue.Waiting()),
        .service_time_short_us = static_cast<std::uint32_t>(
            upstream.times.MeanUs() * (upstream.slow ? kSlowFactor : 1)),
        .slowdown_percent = upstream.slow ? 500U : 100U,
        .backlog_us =
            static_cast<std::uint32_t>(upstream.queue.Backlog().count())};
  }

  void Place(replay_call& call) {
    std::vector<std::size_t> available;
    for (std::size_t each = 0; each < upstreams_.size(); ++each) {
      if (upstreams_[each].joined &&
          std::ranges::find(call.rejected_by, each) == call.rejected_by.end())
        available.push_back(each);
    }
    call.no_alternative =
        available.empty() || call.rejected_by.size() >= options_.max_rejections;
    if (call.no_alternative) available = call.rejected_by;
    std::vector<zone_candidate> candidates;
    for (const std::size_t each : available) {
      known_report known = views_[call.ingress][each];
      if (options_.oracle) {
        known = {.report = Report(upstreams_[each]),
                 .reported = true,
                 .reported_at = now_};
      }
      const bool same_zone = Zone(each) == Zone(call.ingress);
      candidates.push_back({.same_zone = same_zone,
                            .report = known.report,
                            .reported = known.reported,
                            .report_age = now_ - known.reported_at,
                            .dispatched_since_report = known.dispatched,
                            .cross_zone_round_trip =
                                same_zone ? duration(0) : kCrossZoneRoundTrip});
    }
    const std::size_t chosen =
        SelectZoneAware(candidates, call.objective_at - now_, 0, random_.Next(),
                        options_.placement)
            .value();
    const zone_candidate& choice = candidates[chosen];
    if (choice.reported) {
      const bool fresh = choice.report_age < options_.placement.report_lifetime;
      (fresh ? fresh_ : stale_) += 1;
      age_ms_ += ToMs(choice.report_age);
    }
    const std::size_t upstream = available[chosen];
    ++views_[call.ingress][upstream].dispatched;
    ++result_.dispatches;
    in_flight_.emplace(now_ + choice.cross_zone_round_trip / 2,
                       std::pair(call.id, upstream));
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const auto [id, upstream] = in_flight_.begin()->second;
      in_flight_.erase(in_flight_.begin());
      Offer(calls_.at(id), upstream);
    }
  }

  void Offer(replay_call& call, std::size_t index) {
    replay_upstream& upstream = upstreams_[index];
    ++upstream.received;
    const duration expected =
        upstream.times.Expected(RouteName(call), 1, call.objective_at - now_);
    const shedding_decision decision =
        upstream.queue.Offer({.id = {.high = index, .low = call.id},
                              .expedited = upstream.times.IsExpedited(expected),
                              .objective_at = call.objective_at,
                              .deadline = call.deadline,
                              .expected = expected,
                              .wait_share = kWaitShare,
                              .no_alternative = call.no_alternative},
                             now_);
    switch (decision.verdict) {
      case shedding_verdict::kAdmitted:
        Start(upstream, call.id);
        return;
      case shedding_verdict::kQueued:
        Apply(index, upstream.queue.Advance(now_));
        return;
      default:
        Reject(call, index);
    }
  }

  void Start(replay_upstream& upstream, std::uint64_t id) {
    upstream.running.push_back({.id = id,
                                .left_ms = calls_.at(id).work_ms,
                                .since = now_,
                                .started_slow = upstream.slow});
  }

  void Apply(std::size_t index, const shedding_change& change) {
    for (const request_id& id : change.admitted)
      Start(upstreams_[index], id.low);
    for (const request_id& id : change.missing_objective)
      Reject(calls_.at(id.low), index);
    for (const request_id& id : change.missing_deadline)
      Reject(calls_.at(id.low), index);
  }

  void Learn(std::size_t ingress, std::size_t index) {
    known_report& known = views_[ingress][index];
    if (known.dispatched > 0) --known.dispatched;
    known.report = Report(upstreams_[index]);
    known.reported = true;
    known.reported_at = now_;
  }

  void Reject(replay_call& call, std::size_t index) {
    Learn(call.ingress, index);
    if (call.rejected_by.empty()) ++result_.first_rejected;
    const bool ends = call.no_alternative;
    call.rejected_by.push_back(index);
    if (!ends) return Place(call);
    ++result_.rejected;
    const auto has_room = [](const replay_upstream& each) {
      return each.joined && !each.slow &&
             each.queue.Running() < each.queue.Limit();
    };
    if (std::ranges::any_of(upstreams_, has_room)) ++result_.rejected_with_room;
    calls_.erase(call.id);
  }

  // Lets the calls of one upstream progress by one tick.
  void Work(replay_upstream& upstream) {
    const auto index = static_cast<std::size_t>(&upstream - upstreams_.data());
    if (options_.slowdowns && now_ >= upstream.slow_change) {
      upstream.slow = !upstream.slow;
      upstream.slow_change =
          now_ + FromMs((upstream.slow ? kSlowdownMs : kSlowdownPauseMs) *
                        Exponential());
      if (upstream.slow) {
        upstream.queue.Pause(FromMs(kSlowdownMs / 2));
      } else {
        Apply(index, upstream.queue.Resume(now_));
      }
    }
    const double progress_ms =
        ToMs(kTick) * upstream.speed / (upstream.slow ? kSlowFactor : 1);
    std::vector<running_call> done;
    std::erase_if(upstream.running, [&](running_call& each) {
      each.left_ms -= progress_ms;
      if (each.left_ms > 0) return false;
      done.push_back(each);
      return true;
    });
    for (const running_call& each : done) Finish(index, each);
    if (const auto next = upstream.queue.NextChange(); next && *next <= now_)
      Apply(index, upstream.queue.Advance(now_));
  }

  void Finish(std::size_t index, const running_call& done) {
    replay_upstream& upstream = upstreams_[index];
    const replay_call call = calls_.at(done.id);
    upstream.times.Record(RouteName(call), now_ - done.since,
                          done.started_slow ? kSlowFactor : 1);
    calls_.erase(done.id);
    Apply(index, upstream.queue.Release(now_));
    Learn(call.ingress, index);
    ++result_.answered;
    total_ms_ += ToMs(now_ - call.started);
    if (now_ <= call.objective_at) ++result_.in_time;
    if (Zone(index) != Zone(call.ingress)) ++result_.other_zone;
  }

  const fleet_replay_options options_;
  seeded_random_source random_;
  std::vector<replay_upstream> upstreams_;
  std::vector<std::vector<known_report>> views_;  // By ingress and upstream.
  std::map<std::uint64_t, replay_call> calls_;
  std::multimap<time_point, std::pair<std::uint64_t, std::size_t>> in_flight_;
  double rate_per_ms_ = 0;
  std::uint64_t last_id_ = 0;
  time_point now_ = kStart;
  fleet_replay_result result_;
  double age_ms_ = 0;
  double fresh_ = 0;
  double stale_ = 0;
  double total_ms_ = 0;
};

}  // namespace

fleet_replay_result ReplayFleet(const fleet_replay_options& options) {
  return replay(options).Run();
}

}  // namespace hornbeam
