// State of one call in the filter chain.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "controllers/call_router.h"
#include "controllers/service_state.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"
#include "hornbeam/request_id.h"
#include "http/http_messages.h"

namespace hornbeam {

class cancel_source;

// Filled in by the filters in order. Lives on the stack of the call's fiber.
struct call_context {
  const http_request& request;
  cancel_source& caller_disconnected;
  request_id id;
  time_point received_at;
  time_point deadline;
  std::shared_ptr<service_state> service;
  call_class kind = call_class::kShort;
  bool idempotent = true;
  std::optional<request_id> key;  // Non-idempotent calls only.
};

}  // namespace hornbeam
