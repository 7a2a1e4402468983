// Latency quantiles.
#pragma once

#include <array>
#include <cstdint>
#include <memory>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Estimates quantiles of the times recorded in the last completed window, in
// constant memory, and keeps the sum and count of all times since the process
// started. Owned by a metrics_registry.
class latency_summary {
 public:
  static constexpr std::array kQuantiles = {0.5, 0.9, 0.99};
  static constexpr duration kWindow = std::chrono::seconds(30);

  // `clock` outlives the summary.
  explicit latency_summary(const clock_source& clock);
  latency_summary(const latency_summary&) = delete;
  latency_summary& operator=(const latency_summary&) = delete;
  ~latency_summary();

  void Record(duration time);

  // Returns the estimates for kQuantiles in seconds, from the last completed
  // window or, until a first window completes, from the current one. Returns
  // NaN if that window has no times, or if the newest window began two or more
  // window lengths ago.
  [[nodiscard]] std::array<double, kQuantiles.size()> Quantiles() const;
  [[nodiscard]] double SumSeconds() const { return sum_seconds_; }
  [[nodiscard]] std::uint64_t Count() const { return count_; }

 private:
  struct window;

  [[nodiscard]] const window* LatestWindow() const;
  void StartWindow(time_point now);

  const clock_source& clock_;
  std::unique_ptr<window> current_;
  std::unique_ptr<window> previous_;
  double sum_seconds_ = 0;
  std::uint64_t count_ = 0;
};

}  // namespace hornbeam
