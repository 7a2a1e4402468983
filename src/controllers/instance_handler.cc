#include "controllers/instance_handler.h"

#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/metrics_registry.h"
#include "controllers/instance_server.h"

namespace hornbeam {

namespace {

// An upstream waits for one second for the acknowledgement.
constexpr duration kAcknowledgementTimeout = std::chrono::milliseconds(800);

}  // namespace

instance_handler::instance_handler(const clock_source& clock,
                                   const platform_codec& codec, event_log& log,
                                   instance_server& server,
                                   std::function<bool()> is_ready,
                                   std::function<std::string()> format_metrics)
    : clock_(clock),
      codec_(codec),
      log_(log),
      server_(server),
      is_ready_(std::move(is_ready)),
      format_metrics_(std::move(format_metrics)) {}

http_response instance_handler::Handle(const http_request& request,
                                       cancel_source& /*caller_disconnected*/) {
  if (request.method == "GET" && request.target == "/metrics") {
    return {.status = 200,
            .headers = {{"Content-Type", std::string(kMetricsContentType)}},
            .body = format_metrics_()};
  }
  const auto read = codec_.ReadNodeRequest(request);
  if (!read) {
    log_.Write(event_id::kAnnouncementRejected,
               {{"target", request.target}, {"reason", read.error().reason}});
    return codec_.WriteError(read.error());
  }
  const node_request& node_message = read.value();
  if (std::holds_alternative<readiness_check>(node_message)) {
    return codec_.WriteReadiness(is_ready_());
  }
  const auto* announced = std::get_if<instance_announcement>(&node_message);
  const auto* withdrawn = std::get_if<instance_withdrawal>(&node_message);
  // What is not applied is not acknowledged either.
  const auto reason = announced != nullptr
                          ? server_.RejectionReason(*announced)
                          : server_.RejectionReason(*withdrawn);
  if (reason) {
    const codec_error error{.reason = std::string(*reason)};
    log_.Write(event_id::kAnnouncementRejected,
               {{"target", request.target}, {"reason", error.reason}});
    return codec_.WriteError(error);
  }
  const time_point deadline = clock_.Now() + kAcknowledgementTimeout;
  const bool is_durable = announced != nullptr
                              ? server_.AnnounceDurably(*announced, deadline)
                              : server_.WithdrawDurably(*withdrawn, deadline);
  if (is_durable) return codec_.WriteAcknowledgement();
  constexpr std::string_view kNotDurable =
      "the control VMs could not be reached in time";
  log_.Write(event_id::kAnnouncementRejected,
             {{"target", request.target}, {"reason", kNotDurable}});
  return codec_.WriteUnavailable(kNotDurable);
}

}  // namespace hornbeam
