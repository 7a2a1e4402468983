#include "base/system_clock_source.h"

namespace hornbeam {

time_point system_clock_source::Now() const {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

wall_time_point system_clock_source::WallNow() const {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

}  // namespace hornbeam
