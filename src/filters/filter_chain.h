// HTTP handler that runs requests through a chain of filters.
#pragma once

#include <memory>
#include <vector>

#include "filters/call_filter.h"
#include "http/http_server.h"

namespace hornbeam {

class clock_source;
class random_source;

// Assigns an id to each request and runs it through the filters in order; the
// last filter must answer. Owned by the node daemon.
class filter_chain final : public http_handler {
 public:
  filter_chain(const clock_source& clock, random_source& random,
               std::vector<std::unique_ptr<call_filter>> filters);
  ~filter_chain() override;

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  class remaining_filters;

  const clock_source& clock_;
  random_source& random_;
  const std::vector<std::unique_ptr<call_filter>> filters_;
};

}  // namespace hornbeam
