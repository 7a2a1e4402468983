// Exit codes of hornbeamctl.
#pragma once

#include <cstdint>

namespace hornbeam {

// The numbers are stable because scripts depend on them; docs/OPERATIONS.md
// lists them.
enum class exit_code : std::uint8_t {
  kOk = 0,
  kInvalidInput = 1,  // A document or value is invalid; nothing was changed.
  kUsage = 2,         // The command line is invalid.
  kUnreachable = 3,   // No control VM or no quorum; nothing was changed.
  kNotPermitted = 4,  // The team or its token does not permit the change.
  kConflict = 5,      // Another change was accepted first; nothing was changed.
  kNotYetInForce = 6,  // Accepted, but not every node applies it yet.
  kUnknown = 7,        // No reply in time, or one that cannot be decoded; the
                       // change may be accepted or not.
};

}  // namespace hornbeam
