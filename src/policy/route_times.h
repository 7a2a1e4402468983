// How long work of each route takes at one upstream.
//
// Load pattern: routes differ in length by a factor of ten, and an upstream's
// speed changes from one moment to the next. Times are kept as they would be at
// its usual speed, so that a slow spell or a cold start does not look like long
// work later on.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Not thread-safe; knows no clock.
class route_times {
 public:
  // Work of `route` took `ran_for` at `slowdown` times the usual time.
  void Record(std::string_view route, duration ran_for, double slowdown);

  // For work that begins now at that slowdown. Before any was measured: a share
  // of what is left of the objective.
  [[nodiscard]] duration Expected(std::string_view route, double slowdown,
                                  duration objective_left) const;
  // Whether work of that length is far shorter than that of another route.
  [[nodiscard]] bool IsBrief(duration expected) const;
  // Over all routes, in microseconds; 0 before any was measured.
  [[nodiscard]] double MeanUs() const { return mean_us_; }

 private:
  std::map<std::string, double, std::less<>> usual_us_;
  double mean_us_ = 0;
};

}  // namespace hornbeam
