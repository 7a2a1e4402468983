#include "policy/zone_aware_selection.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace hornbeam {

namespace {

// Returns the reported service time; zero for an upstream without measurements.
duration ServiceTime(const zone_candidate& candidate) {
  return std::chrono::microseconds(candidate.report.service_time_short_us);
}

// Returns the service time assumed for an upstream without measurements; zero
// when no upstream has any. Such an upstream has just started and must not
// appear to be the fastest.
duration AssumedServiceTime(std::span<const zone_candidate> candidates,
                            const zone_selection_options& options) {
  auto times =
      candidates | std::views::transform(ServiceTime) |
      std::views::filter([](duration time) { return time > duration(0); });
  duration sum{0};
  std::int64_t count = 0;
  for (const duration time : times) {
    sum += time;
    ++count;
  }
  return count == 0 ? duration(0)
                    : sum * options.unmeasured_time_factor / count;
}

struct scored_candidate {
  std::size_t index = 0;
  duration wait{};
  duration finish{};
};

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
  const double freshness =
      1.0 -
      std::min(1.0, static_cast<double>(candidate.report_age.count()) /
                        static_cast<double>(options.report_lifetime.count()));
  const double reported_calls = report.running_short + report.running_long +
                                report.queued_short + report.queued_long;
  const double calls =
      freshness * reported_calls + candidate.dispatched_since_report + 1;
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
    double bytes, std::uint64_t tie, const zone_selection_options& options) {
  if (candidates.empty()) return std::nullopt;
  const auto fails = [&](const zone_candidate& each) {
    return each.reported && each.report_age < options.report_lifetime &&
           each.report.failure_per_mille >= options.failing_per_mille;
  };
  const duration assumed_time = AssumedServiceTime(candidates, options);
  const bool all_fail = std::ranges::all_of(candidates, fails);
  std::vector<scored_candidate> all;
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const std::size_t index = (step + tie) % candidates.size();
    const zone_candidate& each = candidates[index];
    if (!all_fail && fails(each)) continue;
    const duration wait = ExpectedWaitAt(each, options);
    duration work = ServiceTime(each);
    if (work == duration(0)) work = assumed_time;
    const bool is_slow = each.report.slowdown_percent > 100 &&
                         each.report_age < options.slowdown_length;
    // A transient slowdown usually ends before the call does, so only its
    // expected remainder is added.
    if (is_slow) work += options.slowdown_length - each.report_age;
    all.push_back({.index = index,
                   .wait = wait,
                   .finish = wait + work + each.cross_zone_round_trip});
  }
  const auto fastest =
      std::ranges::min_element(all, {}, &scored_candidate::finish);
  const auto is_in_same_zone = [&](const scored_candidate& each) {
    return candidates[each.index].same_zone;
  };
  std::vector<scored_candidate> same_zone;
  std::ranges::copy_if(all, std::back_inserter(same_zone), is_in_same_zone);
  if (same_zone.empty()) return fastest->index;
  const auto fastest_in_zone =
      std::ranges::min_element(same_zone, {}, &scored_candidate::finish);
  const duration slack =
      objective_left - ServiceTime(candidates[fastest_in_zone->index]);
  const auto max_wait = duration(static_cast<std::int64_t>(
      static_cast<double>(slack.count()) * SameZoneWaitShare(bytes, options)));
  const bool stays_in_zone =
      fastest_in_zone->wait <= max_wait || fastest_in_zone->wait == duration(0);
  return stays_in_zone ? fastest_in_zone->index : fastest->index;
}

}  // namespace hornbeam
