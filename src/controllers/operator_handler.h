// HTTP handler for operators who change and read the routing table.
#pragma once

#include <cstdint>

#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "http/http_server.h"

namespace hornbeam {

class event_log;
class replica_host;

struct operator_options {
  // The operators' port, the same on all control VMs.
  std::uint16_t port = 0;
  // Time limit of one change or read. Operators give up after about a second
  // and turn to another control VM.
  duration time_limit = std::chrono::milliseconds(900);
};

// Only the leader of the routing store serves changes and reads; the other
// control VMs redirect to it. Owned by the daemon, for the I/O thread only.
class operator_handler final : public http_handler {
 public:
  operator_handler(const clock_source& clock, event_log& log,
                   const platform_codec& codec, replica_host& routing,
                   const operator_options& options);

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  http_response HandleChange(const http_request& request,
                             const routing_change& change);
  http_response HandleRead(const http_request& request);
  http_response RedirectToLeader(const http_request& request);

  const clock_source& clock_;
  event_log& log_;
  const platform_codec& codec_;
  replica_host& routing_;
  const operator_options options_;
};

}  // namespace hornbeam
