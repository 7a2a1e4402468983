#include "policy/zone_aware_selection.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <vector>

namespace hornbeam {

namespace {

// Returns the reported service time; zero for an upstream without measurements.
duration ServiceTime(const zone_candidate& candidate) {
  return std::chrono::microseconds(candidate.report.service_time_short_us);
}

// Returns how far the report's counts still apply, from 1 for a new report to 0
// at the end of its lifetime.
double Freshness(const zone_candidate& candidate,
                 const zone_selection_options& options) {
  if (!candidate.reported || candidate.report.slot_limit == 0) return 0;
  const double age = static_cast<double>(candidate.report_age.count()) /
                     static_cast<double>(options.report_lifetime.count());
  return 1.0 - std::min(1.0, age);
}

double ReportedCalls(const load_report& report) {
  return report.running_short + report.running_long + report.queued_short +
         report.queued_long;
}

// Means over the candidates, which stand in for what is not known of one.
struct fleet_mean {
  double occupancy = 0;  // Calls per slot.
  double slot_limit = 1;
  duration service_time{};  // Zero when no candidate has a measurement.
};

fleet_mean MeanOf(std::span<const zone_candidate> candidates,
                  const zone_selection_options& options) {
  fleet_mean mean;
  double weights = 0;
  double slots = 0;
  std::int64_t reports = 0;
  std::int64_t times = 0;
  for (const zone_candidate& each : candidates) {
    const double weight = Freshness(each, options);
    const double limit = each.report.slot_limit;
    if (each.reported && limit > 0) {
      slots += limit;
      ++reports;
      mean.occupancy += weight * ReportedCalls(each.report) / limit;
      weights += weight;
    }
    mean.service_time += ServiceTime(each);
    if (ServiceTime(each) > duration(0)) ++times;
  }
  if (weights > 0) mean.occupancy /= weights;
  if (reports > 0) mean.slot_limit = slots / static_cast<double>(reports);
  if (times > 0) mean.service_time /= times;
  return mean;
}

// Returns the calls per slot that are expected at the candidate.
double Occupancy(const zone_candidate& candidate, const fleet_mean& mean,
                 const zone_selection_options& options) {
  const double freshness = Freshness(candidate, options);
  const double slots = candidate.report.slot_limit > 0
                           ? candidate.report.slot_limit
                           : mean.slot_limit;
  return (freshness * ReportedCalls(candidate.report) +
          candidate.dispatched_since_report) /
             slots +
         (1 - freshness) * mean.occupancy;
}

struct scored_candidate {
  std::size_t index = 0;
  duration wait{};
  duration cost{};  // Wait, travel and known slowness.
  double occupancy = 0;
};

// Returns the time by which a call at the candidate takes longer than usual. A
// service time up to twice the mean is no evidence: it depends on the mix of
// short and long calls that the candidate happened to get.
duration KnownSlowness(const zone_candidate& candidate, const fleet_mean& mean,
                       const zone_selection_options& options) {
  duration slowness{};
  const bool is_slowed_down = candidate.report.slowdown_percent > 100 &&
                              candidate.report_age < options.slowdown_length;
  // A transient slowdown usually ends before the call does, so only its
  // expected remainder is added.
  if (is_slowed_down)
    slowness += options.slowdown_length - candidate.report_age;
  const duration time = ServiceTime(candidate);
  if (time > mean.service_time * options.slow_time_factor)
    slowness += time - mean.service_time;
  return slowness;
}

// Returns the less occupied of two candidates drawn from `pool`; a single draw
// would ignore the reports, and the least occupied of all attracts the calls of
// every node that knows of it.
std::size_t LessOccupiedOfTwo(std::span<const scored_candidate> pool,
                              std::span<const zone_candidate> candidates,
                              std::uint64_t random) {
  const std::size_t size = pool.size();
  const scored_candidate& first = pool[random % size];
  const scored_candidate& second = pool[(random / size + 1) % size];
  // At equal occupancy one with a report is better known.
  const auto rank = [&](const scored_candidate& each) {
    return std::tuple(each.occupancy, !candidates[each.index].reported);
  };
  return rank(second) < rank(first) ? second.index : first.index;
}

}  // namespace

duration BacklogAt(const zone_candidate& candidate,
                   const zone_selection_options& options) {
  const duration reported_backlog =
      std::chrono::microseconds(candidate.report.backlog_us);
  const duration left = reported_backlog - candidate.report_age;
  return std::max({left, ExpectedWaitAt(candidate, options), duration(0)});
}

duration ExpectedWaitAt(const zone_candidate& candidate,
                        const zone_selection_options& options) {
  const load_report& report = candidate.report;
  if (!candidate.reported || report.slot_limit == 0) return duration(0);
  const double calls = Freshness(candidate, options) * ReportedCalls(report) +
                       candidate.dispatched_since_report + 1;
  const double excess = calls - report.slot_limit;
  if (excess <= 0) return duration(0);
  return duration(static_cast<std::int64_t>(
      excess * report.service_time_short_us / report.slot_limit));
}

double SameZoneWaitShare(double bytes, const zone_selection_options& options) {
  constexpr double kKib = 1024;
  return std::min(
      options.wait_share + options.wait_share_per_kib * bytes / kKib,
      options.max_wait_share);
}

std::optional<std::size_t> SelectZoneAware(
    std::span<const zone_candidate> candidates, duration objective_left,
    double bytes, std::uint64_t random, const zone_selection_options& options) {
  if (candidates.empty()) return std::nullopt;
  const auto fails = [&](const zone_candidate& each) {
    return each.reported && each.report_age < options.report_lifetime &&
           each.report.failure_per_mille >= options.failing_per_mille;
  };
  const fleet_mean mean = MeanOf(candidates, options);
  const bool all_fail = std::ranges::all_of(candidates, fails);
  std::vector<scored_candidate> all;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const zone_candidate& each = candidates[index];
    if (!all_fail && fails(each)) continue;
    const duration wait = ExpectedWaitAt(each, options);
    all.push_back({.index = index,
                   .wait = wait,
                   .cost = wait + KnownSlowness(each, mean, options) +
                           each.cross_zone_round_trip,
                   .occupancy = Occupancy(each, mean, options)});
  }
  std::vector<scored_candidate> same_zone;
  std::ranges::copy_if(all, std::back_inserter(same_zone),
                       [&](const scored_candidate& each) {
                         return candidates[each.index].same_zone;
                       });
  const auto lowest_cost = [](const std::vector<scored_candidate>& pool) {
    return *std::ranges::min_element(pool, {}, &scored_candidate::cost);
  };
  std::vector<scored_candidate>& pool = same_zone.empty() ? all : same_zone;
  if (!same_zone.empty()) {
    const scored_candidate& best = lowest_cost(same_zone);
    const duration slack = objective_left - ServiceTime(candidates[best.index]);
    const auto max_wait =
        duration(static_cast<std::int64_t>(static_cast<double>(slack.count()) *
                                           SameZoneWaitShare(bytes, options)));
    if (best.wait > std::max(max_wait, duration(0))) pool = all;
  }
  const duration tolerance = std::max(
      duration(static_cast<std::int64_t>(
          static_cast<double>(objective_left.count()) * options.equal_share)),
      options.min_tolerance);
  const duration limit = lowest_cost(pool).cost + tolerance;
  std::erase_if(pool, [limit](const scored_candidate& each) {
    return each.cost > limit;
  });
  return LessOccupiedOfTwo(pool, candidates, random);
}

}  // namespace hornbeam
