// How calls end at the serving node.
#pragma once

#include "http/http_client.h"
#include "http/http_messages.h"
#include "policy/admission_queue.h"
#include "wire/call_server.h"

namespace hornbeam {

// The end reason that a refusal by the admission queue travels as.
end_reason ToEndReason(rejection_reason reason);

// An end without an answer.
served_call MakeEnd(outcome fate, end_reason reason);

// What a failed call at the upstream proves: kNotRun only when nothing of it
// was sent.
served_call ToServed(http_call_error error);

// The upstream's answer; a refusal that it marks as not run is one.
served_call ToServed(http_response&& answer);

}  // namespace hornbeam
