#include "base/latency_summary.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstddef>
#include <limits>
#include <vector>

namespace hornbeam {

namespace {

namespace accumulators = boost::accumulators;

using quantile_set = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::extended_p_square>>;

// The P-square estimator needs as many values as it has markers before it gives
// an estimate. Until then quantiles are computed exactly from the stored
// values.
constexpr std::size_t kExactValueLimit =
    2 * latency_summary::kQuantiles.size() + 3;

double ExactQuantile(std::vector<double> values, double quantile) {
  const auto count = static_cast<double>(values.size());
  const auto rank = static_cast<std::size_t>(std::ceil(quantile * count)) - 1;
  std::ranges::nth_element(values, values.begin() + static_cast<long>(rank));
  return values.at(rank);
}

}  // namespace

struct latency_summary::window {
  explicit window(time_point at)
      : started_at(at),
        estimates(accumulators::extended_p_square_probabilities = kQuantiles) {}

  void Add(double value) {
    if (first_values.size() <= kExactValueLimit) first_values.push_back(value);
    estimates(value);
  }

  time_point started_at;
  std::vector<double> first_values;
  quantile_set estimates;
};

latency_summary::latency_summary(const clock_source& clock)
    : clock_(clock), current_(std::make_unique<window>(clock.Now())) {}

latency_summary::~latency_summary() = default;

void latency_summary::Record(duration time) {
  const time_point now = clock_.Now();
  if (now - current_->started_at >= kWindow) StartWindow(now);
  const double seconds = std::chrono::duration<double>(time).count();
  current_->Add(seconds);
  sum_seconds_ += seconds;
  ++count_;
}

void latency_summary::StartWindow(time_point now) {
  previous_ = std::move(current_);
  current_ = std::make_unique<window>(now);
}

// Returns the latest completed window, or the current one until a first window
// completes. A window that elapsed without a later value counts as completed.
// Returns null if the latest window started two or more window lengths ago.
const latency_summary::window* latency_summary::LatestWindow() const {
  const duration age = clock_.Now() - current_->started_at;
  if (age >= 2 * kWindow) return nullptr;
  return age >= kWindow || previous_ == nullptr ? current_.get()
                                                : previous_.get();
}

std::array<double, latency_summary::kQuantiles.size()>
latency_summary::Quantiles() const {
  std::array<double, kQuantiles.size()> values{};
  values.fill(std::numeric_limits<double>::quiet_NaN());
  const window* const latest = LatestWindow();
  if (latest == nullptr || latest->first_values.empty()) return values;
  if (latest->first_values.size() <= kExactValueLimit) {
    std::ranges::transform(
        kQuantiles, values.begin(), [latest](double quantile) {
          return ExactQuantile(latest->first_values, quantile);
        });
  } else {
    const auto estimates = accumulators::extended_p_square(latest->estimates);
    std::copy(estimates.begin(), estimates.end(), values.begin());
  }
  return values;
}

}  // namespace hornbeam
