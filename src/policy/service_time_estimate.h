// Estimate of the current service time of one class of calls at an upstream.
#pragma once

#include <cstdint>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct service_time_options {
  // Half-life of recent busy time and completed calls.
  duration half_life = std::chrono::milliseconds(50);
  // Weight of the usual service time (the long-term average), in calls.
  double usual_calls = 10;
  // Weight of a new sample in the usual service time.
  double usual_weight = 0.01;
  // Assumed until the first call has completed.
  duration default_time = std::chrono::milliseconds(10);
};

// Divides the recent busy time of the slots by the number of recently completed
// calls, so that a slowdown raises the estimate before the first slow call has
// completed. Without calls the estimate returns to the usual service time. Not
// thread-safe.
class service_time_estimate {
 public:
  explicit service_time_estimate(service_time_options options);

  // Records that a call starts at `now`.
  void RecordStart(time_point now);
  // Records that a call that ran for `ran_for` completes at `now`.
  void RecordCompletion(time_point now, duration ran_for);
  // Records that a call terminates at `now` whose length is not a sample of the
  // service time.
  void RecordAbandoned(time_point now);

  // Returns the estimated service time in microseconds.
  [[nodiscard]] double Estimate(time_point now) const;
  // Returns whether a call has completed, so that Estimate does not return the
  // default time.
  [[nodiscard]] bool IsKnown() const { return usual_us_ > 0; }
  [[nodiscard]] std::uint32_t Running() const { return running_; }

 private:
  struct recent_work {
    double busy_us = 0;
    double completed = 0;
  };

  [[nodiscard]] recent_work Recent(time_point now) const;
  void Advance(time_point now);

  service_time_options options_;
  recent_work recent_;
  time_point advanced_at_;
  double usual_us_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace hornbeam
