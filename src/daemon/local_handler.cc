#include "daemon/local_handler.h"

#include <string>
#include <utility>

#include "base/metrics_registry.h"
#include "controllers/service_directory.h"
#include "controllers/serving_controller.h"
#include "daemon/announcement_reader.h"

namespace hornbeam {

local_handler::local_handler(metrics_registry& metrics,
                             std::function<bool()> is_ready,
                             std::function<void()> sample)
    : metrics_(metrics),
      is_ready_(std::move(is_ready)),
      sample_(std::move(sample)) {}

local_handler::~local_handler() = default;

http_response local_handler::Handle(const http_request& request,
                                    cancel_source& /*caller_disconnected*/) {
  if (request.method != "GET") {
    return MakeTextResponse(405, "only GET is answered here\n");
  }
  if (request.target == "/health") return MakeTextResponse(200, "ok\n");
  if (request.target == "/ready") {
    return is_ready_() ? MakeTextResponse(200, "ready\n")
                       : MakeTextResponse(503, "not ready\n");
  }
  if (request.target == "/metrics") {
    sample_();
    return http_response{
        .status = 200,
        .headers = {{"Content-Type", std::string(kMetricsContentType)}},
        .body = metrics_.FormatText()};
  }
  return MakeTextResponse(404, "known: /health /ready /metrics\n");
}

node_local_handler::node_local_handler(metrics_registry& metrics,
                                       std::function<bool()> is_ready,
                                       std::function<void()> sample,
                                       serving_controller& serving,
                                       service_directory& directory)
    : local_handler(metrics, std::move(is_ready), std::move(sample)),
      serving_(serving),
      directory_(directory) {}

http_response node_local_handler::Handle(const http_request& request,
                                         cancel_source& caller_disconnected) {
  if (request.target != "/upstream") {
    return local_handler::Handle(request, caller_disconnected);
  }
  if (request.method == "PUT") return Announce(request);
  if (request.method == "DELETE") {
    if (serving_.Withdraw()) directory_.RenewLease();
    return http_response{.status = 204};
  }
  return MakeTextResponse(405, "PUT announces, DELETE withdraws\n");
}

http_response node_local_handler::Announce(const http_request& request) {
  const auto announcement = ReadAnnouncement(request.body);
  if (!announcement) {
    return MakeTextResponse(400, announcement.error().reason + "\n");
  }
  if (serving_.Announce(announcement.value())) directory_.RenewLease();
  return http_response{.status = 204};
}

}  // namespace hornbeam
