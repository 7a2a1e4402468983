// Helper functions of the baseline pickers.
#pragma once

#include <cstddef>
#include <span>

#include "policy/picker.h"

namespace hornbeam::detail {

// Returns the number of this node's calls outstanding at `upstream`, short and
// long.
double OutstandingCalls(const candidate& upstream);

// Returns the decision for `candidates[chosen]`, with its outstanding calls as
// the score.
pick_decision MakeBaselineDecision(std::span<const candidate> candidates,
                                   std::size_t chosen);

}  // namespace hornbeam::detail
