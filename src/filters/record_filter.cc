#include "filters/record_filter.h"

#include <string>

#include "base/event_log.h"
#include "base/metrics_registry.h"
#include "hornbeam/clock_source.h"

namespace hornbeam {

namespace {

constexpr metric_family kCalls{
    "hornbeam_calls_total", "Calls that ended, by service, class and outcome."};
constexpr metric_family kCallDuration{
    "hornbeam_call_duration_seconds",
    "Time from a caller's whole request to its answer."};

std::string OutcomeName(const http_response& response) {
  return std::string(response.Header("Hornbeam-Outcome").value_or("answered"));
}

}  // namespace

record_filter::record_filter(const clock_source& clock, event_log& log,
                             metrics_registry& metrics)
    : clock_(clock), log_(log), metrics_(metrics) {}

http_response record_filter::Apply(call_context& call,
                                   call_continuation& rest) {
  http_response response = rest.Proceed(call);
  const duration elapsed = clock_.Now() - call.received_at;
  // Service names that callers invent must not create metrics.
  const bool is_known = call.service && call.service->IsKnown();
  const std::string service = is_known ? call.service->Name() : "unknown";
  const std::string kind = call.kind == call_class::kShort ? "short" : "long";
  const std::string outcome_name = OutcomeName(response);
  metrics_
      .GetCounter(
          kCalls,
          {{"service", service}, {"class", kind}, {"outcome", outcome_name}})
      .Add();
  metrics_.GetLatency(kCallDuration, {{"service", service}, {"class", kind}})
      .Record(elapsed);
  log_.Write(event_id::kCallEnded,
             {{"request", call.id.ToString()},
              {"service", service},
              {"method", call.request.method},
              {"status", response.status},
              {"outcome", outcome_name},
              {"reason", response.Header("Hornbeam-Reason").value_or("")},
              {"took_us", elapsed.count()}});
  return response;
}

}  // namespace hornbeam
