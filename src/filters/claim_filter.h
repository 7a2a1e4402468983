// Filter that claims non-idempotent calls in the operation ledger before they
// are dispatched.
#pragma once

#include <string>

#include "filters/call_filter.h"

namespace hornbeam {

class call_router;
class claim_coordinator;
class clock_source;
class event_log;
class fiber_group;

// Answers every non-idempotent call; idempotent calls proceed. The answer of an
// operation is returned to its caller first and then recorded in the ledger, on
// a fiber of `background`.
class claim_filter final : public call_filter {
 public:
  claim_filter(const clock_source& clock, event_log& log, call_router& router,
               claim_coordinator& coordinator, fiber_group& background,
               std::string ingress);

  http_response Apply(call_context& call, call_continuation& rest) override;

 private:
  const clock_source& clock_;
  event_log& log_;
  call_router& router_;
  claim_coordinator& coordinator_;
  fiber_group& background_;
  const std::string ingress_;
};

}  // namespace hornbeam
