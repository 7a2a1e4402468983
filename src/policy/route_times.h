// Service time estimates for the routes of one upstream.
//
// Load pattern: routes differ in service time by a factor of ten, and an
// upstream's speed changes from one moment to the next. Times are normalised to
// the usual speed, so that calls from a transient slowdown or a cold start do
// not raise the estimates used afterwards.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Owned by the state of one upstream. Not thread-safe; reads no clock.
class route_times {
 public:
  // Records that work of `route` took `ran_for` while the upstream needed
  // `slowdown` times the usual time.
  void Record(std::string_view route, duration ran_for, double slowdown);

  // Returns the expected service time of work that starts now at that slowdown.
  // For a route without measurements it is a share of `objective_left`, the
  // time until the objective.
  [[nodiscard]] duration Expected(std::string_view route, double slowdown,
                                  duration objective_left) const;
  // Returns whether work with this expected service time is much shorter than
  // that of another route, so that its calls are expedited.
  [[nodiscard]] bool IsExpedited(duration expected) const;
  // Returns the moving average over the calls of all routes, at the usual
  // speed, in microseconds; 0 before the first measurement.
  [[nodiscard]] double MeanUs() const { return mean_us_; }

 private:
  std::map<std::string, double, std::less<>> usual_us_;
  double mean_us_ = 0;
};

}  // namespace hornbeam
