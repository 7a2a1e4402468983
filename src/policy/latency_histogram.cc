#include "policy/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {

constexpr double kFirstBucketUs = 64;
constexpr double kBucketsPerDoubling = 4;

}  // namespace

void latency_histogram::Record(duration latency) {
  const double ratio = static_cast<double>(latency.count()) / kFirstBucketUs;
  const double index =
      ratio <= 1 ? 0 : std::ceil(std::log2(ratio) * kBucketsPerDoubling);
  const auto last = static_cast<double>(kBuckets - 1);
  ++buckets_[static_cast<std::size_t>(std::min(index, last))];
  ++weight_;
  if (weight_ < 2 * kEffectiveSamples) return;
  std::ranges::for_each(buckets_, [](double& bucket) { bucket /= 2; });
  weight_ /= 2;
}

duration latency_histogram::Quantile(double share) const {
  if (weight_ <= 0) return duration::zero();
  const double target_weight = share * weight_;
  double cumulative_weight = 0;
  std::size_t index = 0;
  for (; index + 1 < kBuckets; ++index) {
    cumulative_weight += buckets_[index];
    if (cumulative_weight >= target_weight) break;
  }
  const double doublings = static_cast<double>(index) / kBucketsPerDoubling;
  return duration(std::llround(kFirstBucketUs * std::exp2(doublings)));
}

}  // namespace hornbeam
