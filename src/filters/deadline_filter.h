// Filter that sets the deadline of a call and checks its body size.
#pragma once

#include "filters/call_filter.h"

namespace hornbeam {

// Takes the deadline from the field Hornbeam-Deadline-Ms, a positive integer of
// milliseconds that is capped at the service's maximum; without the field the
// service's default applies. Answers 400 for any other value of the field, and
// 413 for a body above the service's limit.
class deadline_filter final : public call_filter {
 public:
  http_response Apply(call_context& call, call_continuation& rest) override;
};

}  // namespace hornbeam
