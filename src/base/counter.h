// Monotonic counter metric.
#pragma once

#include <algorithm>

namespace hornbeam {

// Counts events, bytes or seconds since the process started. Owned by a
// metrics_registry.
class counter {
 public:
  // Adds `amount`, which must not be negative.
  void Add(double amount = 1) { value_ += amount; }
  // Raises the counter to an externally counted total; a lower total is
  // ignored.
  void RaiseTo(double total) { value_ = std::max(value_, total); }
  [[nodiscard]] double Value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace hornbeam
