#include "policy/route_times.h"

#include <algorithm>

namespace hornbeam {

namespace {

// Weight of one call in the moving average of its route's time.
constexpr double kTimeWeight = 0.1;
// Share of the remaining objective that is assumed for a route without
// measurements.
constexpr double kInitialObjectiveShare = 0.25;
// Calls are expedited whose time is below this share of the longest route's.
constexpr double kExpeditedShare = 0.5;

duration FromUs(double microseconds) {
  return duration(static_cast<std::int64_t>(microseconds));
}

}  // namespace

void route_times::Record(std::string_view route, duration ran_for,
                         double slowdown) {
  const double time =
      static_cast<double>(ran_for.count()) / std::max(slowdown, 1.0);
  const auto [entry, is_new] = usual_us_.try_emplace(std::string(route), time);
  if (!is_new) entry->second += kTimeWeight * (time - entry->second);
  mean_us_ += mean_us_ > 0 ? kTimeWeight * (time - mean_us_) : time;
}

duration route_times::Expected(std::string_view route, double slowdown,
                               duration objective_left) const {
  const auto found = usual_us_.find(route);
  if (found != usual_us_.end()) return FromUs(found->second * slowdown);
  const duration left = std::max(objective_left, duration(0));
  return FromUs(kInitialObjectiveShare * static_cast<double>(left.count()));
}

bool route_times::IsExpedited(duration expected) const {
  const auto length = static_cast<double>(expected.count());
  return std::ranges::any_of(usual_us_, [length](const auto& route) {
    return kExpeditedShare * route.second > length;
  });
}

}  // namespace hornbeam
