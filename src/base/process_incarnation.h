// Incarnation number that distinguishes restarts of a process.
#pragma once

#include <cstdint>

namespace hornbeam {

class clock_source;
class random_source;

// Returns the wall clock in microseconds followed by random low bits. The
// result is never 0, and increases with each restart unless the wall clock was
// set back in between. The random bits make two starts in the same microsecond
// differ with high probability.
std::uint64_t MakeIncarnation(const clock_source& clock, random_source& random);

}  // namespace hornbeam
