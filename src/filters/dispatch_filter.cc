#include "filters/dispatch_filter.h"

#include <vector>

#include "controllers/call_router.h"
#include "filters/failure_response.h"
#include "filters/outgoing_request.h"

namespace hornbeam {

dispatch_filter::dispatch_filter(call_router& router) : router_(router) {}

http_response dispatch_filter::Apply(call_context& call,
                                     call_continuation& /*rest*/) {
  const std::vector<header_field> fields = ForwardedFields(call.request);
  const outgoing_call outgoing = MakeOutgoingCall(call, fields);
  return ToResponse(router_.Route(call.service, outgoing));
}

}  // namespace hornbeam
