// HTTP handlers of a daemon for clients on its own VM: health, metrics and, at
// a node, the announcements of the upstream.
#pragma once

#include <functional>

#include "http/http_server.h"

namespace hornbeam {

class metrics_registry;
class process_metrics;
class service_directory;
class serving_controller;

// Handles GET /health, /ready and /metrics at every daemon. Owned by the
// daemon; for the I/O thread only.
class local_handler : public http_handler {
 public:
  // `is_ready` returns whether the daemon can do its work; `sample` updates the
  // gauges before the metrics are rendered.
  local_handler(metrics_registry& metrics, std::function<bool()> is_ready,
                std::function<void()> sample);
  ~local_handler() override;

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  metrics_registry& metrics_;
  const std::function<bool()> is_ready_;
  const std::function<void()> sample_;
};

// Handler of a node: also handles PUT and DELETE /upstream, with which the
// upstream announces and withdraws itself.
class node_local_handler final : public local_handler {
 public:
  node_local_handler(metrics_registry& metrics, std::function<bool()> is_ready,
                     std::function<void()> sample, serving_controller& serving,
                     service_directory& directory);

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  http_response Announce(const http_request& request);

  serving_controller& serving_;
  service_directory& directory_;
};

}  // namespace hornbeam
