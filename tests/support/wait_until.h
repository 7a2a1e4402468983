// Polling for a condition, so that no test result depends on timing.
#pragma once

#include <chrono>
#include <functional>

namespace hornbeam {

// Limit for conditions that hold within moments on a working machine.
constexpr std::chrono::seconds kDefaultWaitLimit{30};

// Polls `condition` every 5 ms. Returns whether it held within `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = kDefaultWaitLimit);

}  // namespace hornbeam
