// Adaptive concurrency limit for the calls of one upstream.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"

namespace hornbeam {

struct concurrency_limit_options {
  // Minimum length and minimum number of samples of one measuring window.
  duration window = std::chrono::milliseconds(200);
  std::uint32_t min_samples = 20;
  // The limit falls only when calls take more than this many times their usual
  // time.
  double tolerance = 2;
  // Time after a shed call during which the limit does not grow.
  duration shed_hold = std::chrono::seconds(2);
  // Weight of one window in the moving average of the usual time.
  double usual_weight = 0.05;
  std::uint32_t min_limit = 2;
};

// Follows the capacity of the upstream: the limit falls when the upstream sheds
// calls, or when calls take much longer than usual while the limit is in use,
// and grows back to the announced slots. A permanent slowdown becomes the usual
// time after a while, so that it does not hold the limit down for good. Not
// thread-safe.
class concurrency_limit {
 public:
  // `clock` must outlive the limit.
  concurrency_limit(const clock_source& clock,
                    concurrency_limit_options options);

  // Sets the slots that the upstream announced, the upper bound of the limit.
  void SetAnnounced(std::uint32_t slots);
  // Records an answered call: its service time at the upstream, and the number
  // of calls that ran when it completed, itself included.
  void RecordAnswer(call_class kind, duration ran_for, std::uint32_t running);
  // Records that the upstream shed a call while `running` calls ran, the shed
  // one included, which shows that its capacity is below that number.
  void RecordShed(std::uint32_t running);

  // Returns the current limit; at least 1 once slots were announced.
  [[nodiscard]] std::uint32_t Limit() const;

 private:
  static constexpr std::size_t kClasses = 2;

  struct class_times {
    double usual_us = 0;  // Over many windows; 0 while unknown.
    double sum_us = 0;    // In this window.
    std::uint32_t samples = 0;
  };

  void MaybeEndWindow();
  [[nodiscard]] double GrowthStep() const;
  double Slowdown();

  const clock_source& clock_;
  concurrency_limit_options options_;
  std::uint32_t announced_ = 0;
  double limit_ = 0;
  std::array<class_times, kClasses> times_;
  std::uint32_t samples_ = 0;
  std::optional<time_point> shed_at_;
  std::uint32_t max_running_ = 0;
  time_point window_started_;
};

}  // namespace hornbeam
