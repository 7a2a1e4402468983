#include "policy/service_time_estimate.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>

namespace hornbeam {

namespace {

double Us(duration time) { return static_cast<double>(time.count()); }

}  // namespace

service_time_estimate::service_time_estimate(service_time_options options)
    : options_(options) {}

void service_time_estimate::RecordStart(time_point now) {
  Advance(now);
  ++running_;
}

void service_time_estimate::RecordCompletion(time_point now, duration ran_for) {
  RecordAbandoned(now);
  ++recent_.completed;
  const double sample = std::max(1.0, Us(ran_for));
  usual_us_ =
      IsKnown() ? std::lerp(usual_us_, sample, options_.usual_weight) : sample;
}

void service_time_estimate::RecordAbandoned(time_point now) {
  Advance(now);
  assert(running_ > 0);
  --running_;
}

double service_time_estimate::Estimate(time_point now) const {
  if (!IsKnown()) return Us(options_.default_time);
  const recent_work recent = Recent(now);
  const double busy_us = recent.busy_us + options_.usual_calls * usual_us_;
  return busy_us / (recent.completed + options_.usual_calls);
}

service_time_estimate::recent_work service_time_estimate::Recent(
    time_point now) const {
  const double half_life_us = Us(options_.half_life);
  const double decay = std::exp2(-Us(now - advanced_at_) / half_life_us);
  // Busy time of the running calls since `advanced_at_`, with the decay of its
  // older parts.
  const double added_us =
      running_ * half_life_us / std::numbers::ln2 * (1 - decay);
  return recent_work{.busy_us = recent_.busy_us * decay + added_us,
                     .completed = recent_.completed * decay};
}

void service_time_estimate::Advance(time_point now) {
  recent_ = Recent(now);
  advanced_at_ = now;
}

}  // namespace hornbeam
