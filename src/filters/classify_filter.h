// Filter that classifies calls and checks their idempotency keys.
#pragma once

#include "filters/call_filter.h"

namespace hornbeam {

// Classifies a call as short or long by the history of its route, and as
// idempotent by its method. Answers 428 for a non-idempotent call without an
// Idempotency-Key, and 400 for a key that is not a UUIDv7.
class classify_filter final : public call_filter {
 public:
  http_response Apply(call_context& call, call_continuation& rest) override;
};

}  // namespace hornbeam
