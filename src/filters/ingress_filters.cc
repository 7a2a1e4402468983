#include "filters/ingress_filters.h"

#include "filters/claim_filter.h"
#include "filters/classify_filter.h"
#include "filters/deadline_filter.h"
#include "filters/dispatch_filter.h"
#include "filters/record_filter.h"
#include "filters/service_filter.h"

namespace hornbeam {

std::vector<std::unique_ptr<call_filter>> MakeIngressFilters(
    const ingress_dependencies& dependencies) {
  std::vector<std::unique_ptr<call_filter>> filters;
  filters.push_back(std::make_unique<record_filter>(
      dependencies.clock, dependencies.log, dependencies.metrics));
  filters.push_back(std::make_unique<service_filter>(dependencies.clock,
                                                     dependencies.directory));
  filters.push_back(std::make_unique<deadline_filter>());
  filters.push_back(std::make_unique<classify_filter>());
  filters.push_back(std::make_unique<claim_filter>(
      dependencies.clock, dependencies.log, dependencies.router,
      dependencies.coordinator, dependencies.background, dependencies.ingress));
  filters.push_back(std::make_unique<dispatch_filter>(dependencies.router));
  return filters;
}

}  // namespace hornbeam
