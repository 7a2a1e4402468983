// Filter that finds the service of a request.
#pragma once

#include "filters/call_filter.h"

namespace hornbeam {

class clock_source;
class service_directory;

// Looks the service up by the first label of the Host field, or by the first
// segment of the path if the label names no known service. Answers 404 for an
// unknown service and 503 while no settings are confirmed; in both cases the
// call did not run.
class service_filter final : public call_filter {
 public:
  service_filter(const clock_source& clock, service_directory& directory);

  http_response Apply(call_context& call, call_continuation& rest) override;

 private:
  const clock_source& clock_;
  service_directory& directory_;
};

}  // namespace hornbeam
