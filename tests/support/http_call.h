// Blocking HTTP calls for tests and tools.
#pragma once

#include <chrono>
#include <string>

#include "support/caller_pool.h"

namespace hornbeam {

// Sends one request to `address` on a new connection and waits for the answer.
// Returns status 0 and a reason when no answer arrives within `timeout`.
caller_response CallOnce(
    const std::string& address, const caller_request& request,
    std::chrono::milliseconds timeout = std::chrono::seconds(15));

// Returns whether a GET of `target` is answered with status 200 within 2
// seconds.
bool IsOk(const std::string& address, const std::string& target);

}  // namespace hornbeam
