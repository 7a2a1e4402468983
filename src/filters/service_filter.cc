#include "filters/service_filter.h"

#include <string_view>
#include <utility>

#include "controllers/service_directory.h"
#include "filters/failure_response.h"
#include "settings/settings_path.h"

namespace hornbeam {

namespace {

constexpr duration kLookupTimeout = std::chrono::seconds(5);

std::string_view FirstLabel(std::string_view host) {
  return host.substr(0, host.find_first_of(".:"));
}

std::string_view FirstSegment(std::string_view target) {
  if (!target.starts_with('/')) return {};
  const std::string_view rest = target.substr(1);
  return rest.substr(0, rest.find_first_of("/?"));
}

}  // namespace

service_filter::service_filter(const clock_source& clock,
                               service_directory& directory)
    : clock_(clock), directory_(directory) {}

http_response service_filter::Apply(call_context& call,
                                    call_continuation& rest) {
  if (!directory_.IsReady()) {
    return MakeFailure(503, outcome::kNotRun,
                       "this node has no confirmed settings yet");
  }
  const time_point lookup_deadline = clock_.Now() + kLookupTimeout;
  const std::string_view host = call.request.Header("Host").value_or("");
  for (const std::string_view name :
       {FirstLabel(host), FirstSegment(call.request.target)}) {
    if (!IsSettingsName(name) || name == "localhost") continue;
    auto service = directory_.Find(name, lookup_deadline);
    if (!service) {
      return MakeFailure(503, outcome::kNotRun,
                         "the service's settings could not be confirmed");
    }
    if (!service->IsKnown()) continue;
    call.service = std::move(service);
    return rest.Proceed(call);
  }
  return MakeFailure(404, outcome::kNotRun, "there is no service of that name");
}

}  // namespace hornbeam
