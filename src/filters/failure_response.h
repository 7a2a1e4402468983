// Responses of the load balancer itself for calls without an upstream's answer.
#pragma once

#include <string>

#include "hornbeam/outcome.h"
#include "http/http_messages.h"
#include "wire/call_link.h"
#include "wire/messages.h"

namespace hornbeam {

// Returns a response with the outcome of the call and the reason as text.
// `call_outcome` must not be kAnswered.
http_response MakeFailure(unsigned status, outcome call_outcome,
                          std::string reason);

// Returns the response for a call that completed without an answer.
http_response MakeFailure(const call_end& end);

// Returns the upstream's answer, or the failure response.
http_response ToResponse(call_result&& completed);

}  // namespace hornbeam
