// Answers that the system itself gives when an upstream's cannot be had.
#pragma once

#include <string>

#include "hornbeam/outcome.h"
#include "http/http_messages.h"
#include "wire/call_link.h"
#include "wire/messages.h"

namespace hornbeam {

// A response with the fate of the call and the reason in plain words. `fate`
// must not be kAnswered.
http_response MakeFailure(unsigned status, outcome call_outcome,
                          std::string reason);

// What the caller is told about a call that ended without an answer.
http_response MakeFailure(const call_end& end);

// The upstream's answer, or the failure.
http_response ToResponse(call_result&& ended);

}  // namespace hornbeam
