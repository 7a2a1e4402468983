// A clock that changes only when a test calls Advance.
#pragma once

#include "hornbeam/clock_source.h"

namespace hornbeam {

class fake_clock_source final : public clock_source {
 public:
  void Advance(duration by) { since_start_ += by; }

  [[nodiscard]] time_point Now() const override {
    return time_point(since_start_);
  }
  [[nodiscard]] wall_time_point WallNow() const override {
    return wall_time_point(since_start_);
  }

 private:
  duration since_start_ = std::chrono::hours(1);
};

}  // namespace hornbeam
