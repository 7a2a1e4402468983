// Creates the filter chain of a node's caller listener.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "filters/call_filter.h"

namespace hornbeam {

class call_router;
class claim_coordinator;
class clock_source;
class event_log;
class fiber_group;
class metrics_registry;
class service_directory;

// Dependencies of the filters; all of them outlive the filters.
struct ingress_dependencies {
  const clock_source& clock;
  event_log& log;
  metrics_registry& metrics;
  service_directory& directory;
  call_router& router;
  claim_coordinator& coordinator;
  // Runs work that continues after the caller has its answer.
  fiber_group& background;
  // Name of this node.
  std::string ingress;
};

// The filters, in order: record the call, find its service, set its deadline
// and check its size, classify it and check its key, claim it, dispatch it.
std::vector<std::unique_ptr<call_filter>> MakeIngressFilters(
    const ingress_dependencies& dependencies);

}  // namespace hornbeam
