// Outcome and class of a call.
#pragma once

#include <cstdint>

namespace hornbeam {

// Result of a call as far as the system can prove it.
enum class outcome : std::uint8_t {
  kAnswered,  // The upstream's complete answer was received.
  kNotRun,    // The call provably did not run and never will.
  kUnknown,   // The call may have run; it is not run again.
};

// Class of a call. Each class has its own connections and slots, so that short
// calls never wait behind long ones.
enum class call_class : std::uint8_t {
  kShort,
  kLong,
};

}  // namespace hornbeam
