#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {

// The limit counts as in use when at least this share of it ran at once.
constexpr double kUsedShare = 0.8;
// The limit grows by this share each window, and by at least one call.
constexpr double kGrowth = 0.1;
// One window reduces the limit to no less than this share of it.
constexpr double kMinKeptShare = 0.7;

}  // namespace

concurrency_limit::concurrency_limit(const clock_source& clock,
                                     concurrency_limit_options options)
    : clock_(clock), options_(options), window_started_(clock.Now()) {}

void concurrency_limit::SetAnnounced(std::uint32_t slots) {
  const bool was_full = limit_ >= announced_;
  announced_ = slots;
  limit_ = was_full ? slots : std::min<double>(limit_, slots);
}

void concurrency_limit::RecordAnswer(call_class kind, duration ran_for,
                                     std::uint32_t running) {
  class_times& times = times_[static_cast<std::size_t>(kind)];
  times.sum_us += static_cast<double>(ran_for.count());
  ++times.samples;
  ++samples_;
  max_running_ = std::max(max_running_, running);
  MaybeEndWindow();
}

void concurrency_limit::RecordShed(std::uint32_t running) {
  shed_at_ = clock_.Now();
  const std::uint32_t capacity = std::max(running, 1U) - 1;
  limit_ = std::min(limit_, static_cast<double>(capacity));
  limit_ = std::max<double>(limit_, std::min(options_.min_limit, announced_));
}

std::uint32_t concurrency_limit::Limit() const {
  const auto lower_bound = std::min(options_.min_limit, announced_);
  const auto limit = static_cast<std::uint32_t>(std::lround(limit_));
  return std::clamp(limit, lower_bound, announced_);
}

void concurrency_limit::MaybeEndWindow() {
  const time_point now = clock_.Now();
  if (now - window_started_ < options_.window) return;
  if (samples_ < options_.min_samples) return;
  const double slowdown = Slowdown();
  const bool is_used = max_running_ >= kUsedShare * limit_;
  const bool is_held = shed_at_ && now - *shed_at_ < options_.shed_hold;
  if (is_used && slowdown > options_.tolerance) {
    limit_ *= std::max(kMinKeptShare, options_.tolerance / slowdown);
  } else if (!is_held) {
    limit_ += GrowthStep();
  }
  limit_ = std::clamp<double>(limit_, std::min(options_.min_limit, announced_),
                              announced_);
  samples_ = 0;
  max_running_ = 0;
  window_started_ = now;
}

// Returns the growth of one window: large as long as the upstream has never
// shed a call, one call otherwise.
double concurrency_limit::GrowthStep() const {
  return shed_at_ ? 1.0 : std::max(1.0, kGrowth * limit_);
}

// Returns the mean ratio of this window's times to the usual ones, 1 without
// samples. Also updates the usual times and starts the next window.
double concurrency_limit::Slowdown() {
  double ratio_sum = 0;
  double samples = 0;
  for (class_times& times : times_) {
    if (times.samples == 0) continue;
    const double mean_us = times.sum_us / times.samples;
    if (times.usual_us == 0) times.usual_us = mean_us;
    ratio_sum += mean_us / times.usual_us * times.samples;
    samples += times.samples;
    // A faster time gets twice the weight: it shows what the upstream is
    // capable of.
    const double weight = mean_us < times.usual_us ? 2 * options_.usual_weight
                                                   : options_.usual_weight;
    times.usual_us = std::lerp(times.usual_us, mean_us, weight);
    times.sum_us = 0;
    times.samples = 0;
  }
  return samples > 0 ? ratio_sum / samples : 1;
}

}  // namespace hornbeam
