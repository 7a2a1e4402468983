#include "policy/slowdown_detector.h"

#include <algorithm>

namespace hornbeam {

namespace {

// Weight of one slowdown in the moving average of their lengths.
constexpr double kSlowdownWeight = 0.1;
// A slowdown that has lasted longer than the mean is expected to continue for
// this share of its length so far, a shorter one for half of the mean.
constexpr double kOverdueShare = 0.5;

}  // namespace

slowdown_detector::slowdown_detector(const slowdown_options& options)
    : options_(options),
      mean_slowdown_us_(static_cast<double>(options.initial_length.count())) {}

void slowdown_detector::Observe(std::uint32_t slowdown_percent,
                                time_point now) {
  percent_ = slowdown_percent;
  observed_at_ = now;
  const bool is_slow = slowdown_percent > options_.slow_percent;
  if (is_slow && !slow_since_) slow_since_ = now;
  if (is_slow || !slow_since_) return;
  const duration lasted = now - *slow_since_;
  slow_since_.reset();
  if (lasted > options_.max_slowdown) return;
  mean_slowdown_us_ += kSlowdownWeight * (static_cast<double>(lasted.count()) -
                                          mean_slowdown_us_);
}

bool slowdown_detector::IsFresh(time_point now) const {
  return observed_at_ && now - *observed_at_ <= options_.freshness;
}

bool slowdown_detector::ShouldDefer(time_point now) const {
  return slow_since_ && now - *slow_since_ <= options_.max_slowdown;
}

duration slowdown_detector::Remainder(time_point now) const {
  if (!ShouldDefer(now)) return duration(0);
  // Slowdowns end at random: the expected remainder does not shrink with age.
  const auto mean = static_cast<double>(mean_slowdown_us_);
  const auto lasted = static_cast<double>((now - *slow_since_).count());
  const double left = std::max(mean / 2, kOverdueShare * lasted);
  return duration(static_cast<std::int64_t>(left));
}

}  // namespace hornbeam
