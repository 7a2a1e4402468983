// The number that tells the lives of one process apart.
#pragma once

#include <cstdint>

namespace hornbeam {

class clock_source;
class random_source;

// Never 0, and larger for a later life unless the time of day was set back
// between them. Two lives that begin in the same instant still differ, mostly.
std::uint64_t MakeIncarnation(const clock_source& clock, random_source& random);

}  // namespace hornbeam
