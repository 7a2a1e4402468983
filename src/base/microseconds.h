// Conversion of durations for messages.
#pragma once

#include <cstdint>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Returns `length` in microseconds, or 0 if it is negative.
inline std::uint64_t ToMicroseconds(duration length) {
  return length.count() > 0 ? static_cast<std::uint64_t>(length.count()) : 0;
}

}  // namespace hornbeam
