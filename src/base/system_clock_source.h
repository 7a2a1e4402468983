// Clocks of the operating system.
#pragma once

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Reads the monotonic and the wall clock of the operating system. Thread-safe.
class system_clock_source final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const override;
  [[nodiscard]] wall_time_point WallNow() const override;
};

}  // namespace hornbeam
