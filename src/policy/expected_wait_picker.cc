#include "policy/expected_wait_picker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

constexpr auto kDistancesNearestFirst = std::to_array<zone_distance>(
    {zone_distance::kSameNode, zone_distance::kSameZone,
     zone_distance::kOtherZone, zone_distance::kOtherRegion});

double Us(duration time) { return static_cast<double>(time.count()); }

}  // namespace

expected_wait_picker::expected_wait_picker(random_source& random,
                                           const picker_options& options)
    : random_(random), options_(options), expected_(options.expected) {}

pick_decision expected_wait_picker::Pick(std::span<const candidate> candidates,
                                         const pick_call& call) {
  pick_decision decision;
  const mean_load mean = expected_.Mean(candidates);
  double best_us = std::numeric_limits<double>::max();
  for (const zone_distance distance : kDistancesNearestFirst) {
    double best_wait_us = std::numeric_limits<double>::max();
    for (const std::size_t index : SampleAt(candidates, distance)) {
      const candidate& upstream = candidates[index];
      const wait_score score = expected_.Score(upstream, call.kind, mean);
      decision.scores.push_back(
          candidate_score{.index = index,
                          .score = score.TotalUs(),
                          .report_age = upstream.load.report_age,
                          .has_report = upstream.load.has_report});
      if (score.TotalUs() >= best_us) continue;
      best_us = score.TotalUs();
      best_wait_us = score.wait_us + score.penalty_us;
    }
    if (best_wait_us < Us(options_.max_near_wait)) break;
  }
  if (decision.scores.empty()) return decision;

  std::ranges::sort(decision.scores, {}, &candidate_score::score);
  decision.chosen = decision.scores.front().index;
  if (decision.scores.size() > 1) {
    const double gain = decision.scores[1].score - decision.scores[0].score;
    const auto limit = duration(std::llround(gain)) + options_.min_wait_limit;
    decision.wait_limit = std::max(limit, options_.min_wait_limit);
  }
  return decision;
}

std::vector<std::size_t> expected_wait_picker::SampleAt(
    std::span<const candidate> candidates, zone_distance distance) {
  std::vector<std::size_t> pool;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (candidates[index].distance == distance) pool.push_back(index);
  }
  const std::size_t count = std::min(options_.sample_size, pool.size());
  for (std::size_t position = 0; position < count; ++position) {
    const std::size_t other =
        position + random_.NextBelow(pool.size() - position);
    std::swap(pool[position], pool[other]);
  }
  pool.resize(count);
  return pool;
}

}  // namespace hornbeam
