// HTTP handler for the announcements of a node's upstream, the platform's
// readiness checks and metrics scrapes.
#pragma once

#include <functional>

#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "http/http_server.h"

namespace hornbeam {

class event_log;
class instance_server;
class metrics_registry;

// Owned by the daemon; for the I/O thread only.
class instance_handler final : public http_handler {
 public:
  // All references must outlive the handler.
  instance_handler(const clock_source& clock, const platform_codec& codec,
                   event_log& log, instance_server& server,
                   std::function<bool()> is_ready,
                   std::function<std::string()> format_metrics);

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  const clock_source& clock_;
  const platform_codec& codec_;
  event_log& log_;
  instance_server& server_;
  const std::function<bool()> is_ready_;
  const std::function<std::string()> format_metrics_;
};

}  // namespace hornbeam
