// Detects transient slowdowns of an upstream.
//
// Load pattern: a noisy neighbour makes a VM several times slower for a few
// hundred milliseconds at a time, a third of the time. Work that starts during
// a slowdown runs slowly for its whole length, so work that is deferred a
// little completes earlier and occupies its slot for a fraction of the time.
#pragma once

#include <cstdint>
#include <optional>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct slowdown_options {
  // An upstream is slowed down above this service time, in percent of the usual
  // one.
  std::uint32_t slow_percent = 200;
  // Time for which an observation describes the current speed: slowdowns begin
  // and end several times a second.
  duration freshness = std::chrono::milliseconds(3);
  // A slowdown that lasts longer is not transient but the upstream's new speed;
  // work is no longer deferred.
  duration max_slowdown = std::chrono::milliseconds(1200);
  // Expected length of a slowdown before the first one has been observed.
  duration initial_length = std::chrono::milliseconds(200);
};

// Fed with the slowdown that the upstream reports. Owned by the state of one
// upstream. Not thread-safe.
class slowdown_detector {
 public:
  explicit slowdown_detector(const slowdown_options& options);

  // Records the current service time in percent of the usual one.
  void Observe(std::uint32_t slowdown_percent, time_point now);

  // Returns whether the last observation still describes the current speed.
  [[nodiscard]] bool IsFresh(time_point now) const;
  // Returns whether work should wait for the end of a transient slowdown.
  [[nodiscard]] bool ShouldDefer(time_point now) const;
  // Returns the expected remaining time of the current slowdown; 0 when there
  // is none.
  [[nodiscard]] duration Remainder(time_point now) const;
  // Returns the last observed service time in percent of the usual one; 100
  // before the first observation.
  [[nodiscard]] std::uint32_t Percent() const { return percent_; }

 private:
  const slowdown_options options_;
  std::uint32_t percent_ = 100;
  std::optional<time_point> observed_at_;
  std::optional<time_point> slow_since_;
  double mean_slowdown_us_;
};

}  // namespace hornbeam
