// Idempotency keys: version 7 UUIDs, which contain their time of issue.
#pragma once

#include <chrono>
#include <string>

namespace hornbeam {

class random_source;

// Returns a key issued at `issued` (time since the Unix epoch).
std::string MakeUuidV7(std::chrono::milliseconds issued, random_source& random);

// Returns a key issued now.
std::string MakeUuidV7(random_source& random);

}  // namespace hornbeam
