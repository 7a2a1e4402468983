// Filter that logs and counts every completed call.
#pragma once

#include "filters/call_filter.h"

namespace hornbeam {

class clock_source;
class event_log;
class metrics_registry;

class record_filter final : public call_filter {
 public:
  record_filter(const clock_source& clock, event_log& log,
                metrics_registry& metrics);

  http_response Apply(call_context& call, call_continuation& rest) override;

 private:
  const clock_source& clock_;
  event_log& log_;
  metrics_registry& metrics_;
};

}  // namespace hornbeam
