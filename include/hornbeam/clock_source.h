// Interface to the clocks. Decision modules read time only through it, so that
// tests can set the time.
#pragma once

#include <chrono>

namespace hornbeam {

using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
using wall_time_point =
    std::chrono::time_point<std::chrono::system_clock, duration>;

// Provides the monotonic and the wall clock. Implementations are owned by the
// daemon and outlive all their users.
class clock_source {
 public:
  clock_source() = default;
  clock_source(const clock_source&) = delete;
  clock_source& operator=(const clock_source&) = delete;
  virtual ~clock_source() = default;

  // Returns the monotonic time, which never decreases within a process.
  [[nodiscard]] virtual time_point Now() const = 0;
  // Returns the wall clock, which may be stepped. Use it only for times that
  // are compared between processes, such as the age of an idempotency key.
  [[nodiscard]] virtual wall_time_point WallNow() const = 0;
};

}  // namespace hornbeam
