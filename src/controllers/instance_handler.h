// HTTP handler for the announcements of a node's upstream, the platform's
// readiness checks, operators and metrics scrapes.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "hornbeam/platform_codec.h"
#include "http/http_server.h"
#include "wire/endpoint.h"

namespace hornbeam {

class event_log;
class instance_server;
class metrics_registry;

// Operators may ask any node, so that no small set of VMs has to be alive for
// them; a node redirects them to a control VM that answers. Owned by the
// daemon; for the I/O thread only.
class instance_handler final : public http_handler {
 public:
  // Returns where operators reach a control VM that answers this node, or
  // std::nullopt if there is none. May block the fiber.
  using control_finder = std::function<std::optional<endpoint>()>;

  // All references must outlive the handler.
  instance_handler(const platform_codec& codec, event_log& log,
                   instance_server& server, std::function<bool()> is_ready,
                   std::function<std::string()> format_metrics,
                   control_finder find_control);

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  http_response RedirectToControl(const http_request& request);

  const platform_codec& codec_;
  event_log& log_;
  instance_server& server_;
  const std::function<bool()> is_ready_;
  const std::function<std::string()> format_metrics_;
  const control_finder find_control_;
};

}  // namespace hornbeam
