#include "policy/expected_wait.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {

// The oldest outstanding call is overdue beyond this multiple of its expected
// time.
constexpr double kOverdueFactor = 4;

double Us(duration time) { return static_cast<double>(time.count()); }

double Decay(duration age, duration half_life) {
  return std::exp2(-Us(age) / Us(half_life));
}

double Interpolate(double value, double mean, double weight) {
  return mean + (value - mean) * weight;
}

const class_observation& ObservationOf(const candidate& upstream,
                                       call_class kind) {
  return kind == call_class::kShort ? upstream.load.short_calls
                                    : upstream.load.long_calls;
}

double ReportedServiceUs(const load_report& report, call_class kind) {
  return kind == call_class::kShort ? report.service_time_short_us
                                    : report.service_time_long_us;
}

// Adds the ingress node's own calls to the reported counts: the calls that the
// report does not contain are queued in addition to it, and the total is never
// below the node's own outstanding calls, whatever the report says.
void AddOwnCalls(const class_observation& own, double running, double& queued) {
  queued += own.unreported;
  queued = std::max(queued, own.outstanding - running);
}

}  // namespace

expected_wait::expected_wait(expected_wait_options options)
    : options_(options) {}

mean_load expected_wait::Mean(std::span<const candidate> candidates) const {
  mean_load mean;
  double reports = 0;
  double short_times = 0;
  double long_times = 0;
  for (const candidate& upstream : candidates) {
    const load_report& report = upstream.load.report;
    if (!upstream.load.has_report || report.slot_limit == 0) continue;
    const double slots = report.slot_limit;
    mean.running_short_share += report.running_short / slots;
    mean.running_long_share += report.running_long / slots;
    mean.queued_short_share += report.queued_short / slots;
    mean.queued_long_share += report.queued_long / slots;
    ++reports;
    mean.short_time_us += report.service_time_short_us;
    short_times += report.service_time_short_us > 0 ? 1 : 0;
    mean.long_time_us += report.service_time_long_us;
    long_times += report.service_time_long_us > 0 ? 1 : 0;
  }
  const double divisor = std::max(reports, 1.0);
  mean.running_short_share /= divisor;
  mean.running_long_share /= divisor;
  mean.queued_short_share /= divisor;
  mean.queued_long_share /= divisor;
  mean.short_time_us = short_times > 0 ? mean.short_time_us / short_times
                                       : Us(options_.default_short_time);
  mean.long_time_us = long_times > 0 ? mean.long_time_us / long_times
                                     : Us(options_.default_long_time);
  return mean;
}

wait_score expected_wait::Score(const candidate& upstream, call_class kind,
                                const mean_load& mean) const {
  wait_score score;
  score.wait_us = WaitUs(upstream, kind, mean);
  score.service_us = ServiceUs(upstream, kind, mean);
  score.round_trip_us = RoundTripUs(upstream.distance);
  score.penalty_us = PenaltyUs(upstream, kind, score.TotalUs());
  return score;
}

double expected_wait::RoundTripUs(zone_distance distance) const {
  switch (distance) {
    case zone_distance::kSameNode:
      return 0;
    case zone_distance::kSameZone:
      return Us(options_.same_zone_round_trip);
    case zone_distance::kOtherZone:
      return Us(options_.other_zone_round_trip);
    case zone_distance::kOtherRegion:
      return Us(options_.other_region_round_trip);
  }
  return Us(options_.other_region_round_trip);
}

expected_wait::slot_state expected_wait::Estimate(const candidate& upstream,
                                                  const mean_load& mean) const {
  const upstream_load& load = upstream.load;
  const load_report& report = load.report;
  slot_state state;
  state.slots = load.has_report ? std::max(1U, report.slot_limit)
                                : options_.default_slots;
  const double weight =
      load.has_report ? Decay(load.report_age, options_.count_half_life) : 0;
  const auto discount = [&](std::uint32_t count, double mean_share) {
    return Interpolate(count, mean_share * state.slots, weight);
  };
  state.running_short =
      discount(report.running_short, mean.running_short_share);
  state.running_long = discount(report.running_long, mean.running_long_share);
  state.queued_short = discount(report.queued_short, mean.queued_short_share);
  state.queued_long = discount(report.queued_long, mean.queued_long_share);
  AddOwnCalls(load.short_calls, state.running_short, state.queued_short);
  AddOwnCalls(load.long_calls, state.running_long, state.queued_long);
  state.short_us = ServiceUs(upstream, call_class::kShort, mean);
  state.long_us = ServiceUs(upstream, call_class::kLong, mean);
  return state;
}

double expected_wait::WaitUs(const candidate& upstream, call_class kind,
                             const mean_load& mean) const {
  const slot_state state = Estimate(upstream, mean);
  const double short_wait_us = ShortWaitUs(state);
  if (kind == call_class::kShort) return short_wait_us;
  // Long calls start after waiting short calls and only in their share of the
  // slots.
  const double long_slots = LongSlots(state);
  const double calls_ahead = state.running_long + state.queued_long;
  const double missing_slots = std::max(calls_ahead + 1 - long_slots, 0.0);
  const double running = std::clamp(state.running_long, 1.0, long_slots);
  return short_wait_us + missing_slots * state.long_us / running;
}

double expected_wait::LongSlots(const slot_state& state) const {
  return std::max(1.0, state.slots * options_.long_share);
}

double expected_wait::ShortWaitUs(const slot_state& state) const {
  // Short calls overtake waiting long calls, except for those that find a free
  // slot now and occupy it.
  const double free_long_slots =
      std::max(LongSlots(state) - state.running_long, 0.0);
  const double starting_long = std::min(free_long_slots, state.queued_long);
  const double calls_ahead = state.running_short + state.running_long +
                             state.queued_short + starting_long;
  const double free_slots = state.slots - calls_ahead;
  if (free_slots >= 1) {
    // The probability that other calls take the free slots first grows with the
    // occupancy.
    const double occupancy = calls_ahead / state.slots;
    return state.short_us / state.slots * std::pow(occupancy, 4);
  }
  const double busy_long = std::min(state.running_long, state.slots);
  const double busy_short = std::max(state.slots - busy_long, 1.0);
  const double completions_per_us =
      busy_short / state.short_us + busy_long / state.long_us;
  return (1 - free_slots) / completions_per_us;
}

double expected_wait::ServiceUs(const candidate& upstream, call_class kind,
                                const mean_load& mean) const {
  const double reported = ReportedServiceUs(upstream.load.report, kind);
  if (reported > 0) return reported;
  const class_observation& observation = ObservationOf(upstream, kind);
  const double observed =
      Us(observation.latency) - RoundTripUs(upstream.distance);
  if (observed > 0) return observed;
  return kind == call_class::kShort ? mean.short_time_us : mean.long_time_us;
}

double expected_wait::PenaltyUs(const candidate& upstream, call_class kind,
                                double expected_us) const {
  const class_observation& observation = ObservationOf(upstream, kind);
  const double overdue = std::max(
      Us(observation.oldest_outstanding) - kOverdueFactor * expected_us, 0.0);
  return overdue + upstream.load.failure_share * Us(options_.failure_penalty);
}

}  // namespace hornbeam
