// Open-loop load generator: sends calls at a given rate, whatever their
// latency.
#pragma once

#include <functional>
#include <optional>

#include "support/load_plan.h"

namespace hornbeam {

// Runs `plan` until every call is answered or has timed out, and returns the
// results; std::nullopt when an address is malformed or a list is empty. Blocks
// and does all work on the calling thread.
std::optional<load_result> RunLoad(const load_plan& plan);

}  // namespace hornbeam
