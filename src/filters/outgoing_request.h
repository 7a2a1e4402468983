// Builds the call to the upstream from a caller's request.
#pragma once

#include <span>
#include <vector>

#include "controllers/call_router.h"
#include "filters/call_context.h"
#include "hornbeam/header_field.h"
#include "http/http_messages.h"

namespace hornbeam {

// Returns the fields of `request` that are forwarded: all except hop-by-hop
// fields and those that the serving node sets itself.
std::vector<header_field> ForwardedFields(const http_request& request);

// Returns the outgoing call with `fields`; it refers to both arguments, which
// must outlive it.
outgoing_call MakeOutgoingCall(const call_context& call,
                               std::span<const header_field> fields);

}  // namespace hornbeam
