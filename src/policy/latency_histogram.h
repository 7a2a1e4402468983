// Histogram of recent latencies with a fixed memory size.
#pragma once

#include <array>
#include <cstddef>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Four buckets per power of two, from 64 us to over an hour. The weight of old
// samples decays as new ones are recorded. Not thread-safe.
class latency_histogram {
 public:
  // Approximate number of recent samples that determine the quantiles.
  static constexpr double kEffectiveSamples = 2000;

  void Record(duration latency);
  // Returns the upper bound of the bucket that contains the quantile `share`,
  // in [0, 1], or zero if there are no samples.
  [[nodiscard]] duration Quantile(double share) const;
  // Returns the weight of all samples, at most 2 * kEffectiveSamples.
  [[nodiscard]] double Weight() const { return weight_; }

 private:
  static constexpr std::size_t kBuckets = 112;

  std::array<double, kBuckets> buckets_{};
  double weight_ = 0;
};

}  // namespace hornbeam
