// Results of calls at the serving node.
#pragma once

#include <string>

#include "hornbeam/request_id.h"
#include "http/http_client.h"
#include "http/http_messages.h"
#include "policy/admission_queue.h"
#include "wire/call_server.h"

namespace hornbeam {

class event_log;

// Converts a rejection by the admission queue to the reason sent to the
// ingress.
end_reason ToEndReason(rejection_reason reason);

// Makes a result without an answer.
served_call MakeServedCall(outcome call_outcome, end_reason reason);

// Converts a failed call at the upstream. The outcome is kNotRun only when
// nothing of the call was sent.
served_call ToServedCall(http_call_error error);

// Logs a call whose answer from the upstream was malformed; other errors are
// logged by the ingress alone. `upstream` is its name or address.
void LogMalformedAnswer(event_log& log, http_call_error error,
                        const request_id& call, const std::string& upstream);

// Converts the upstream's answer. A rejection that the upstream marks as not
// run becomes kNotRun.
served_call ToServedCall(http_response&& answer);

}  // namespace hornbeam
