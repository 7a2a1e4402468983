// HTTP handler for operators who change and read the routing table.
#pragma once

#include <optional>

#include "controllers/leader_client.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "http/http_server.h"

namespace hornbeam {

class event_log;
class replica_host;

struct operator_options {
  // Time limit of one change or read. Operators give up after about a second
  // and turn to another control VM.
  duration time_limit = std::chrono::milliseconds(900);
};

// Every control VM answers operators itself: changes are forwarded to the
// leader of the routing store, and reads are served from the local table once
// it is proved to be current. Owned by the daemon, for the I/O thread only.
class operator_handler final : public http_handler {
 public:
  operator_handler(const clock_source& clock, event_log& log,
                   const platform_codec& codec, replica_host& routing,
                   leader_client& leader, const operator_options& options);

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

 private:
  http_response HandleChange(const routing_change& change);
  http_response HandleRead();
  // Returns the local table once it contains all that was accepted before the
  // call; std::nullopt if that cannot be proved before `limit`.
  std::optional<routing_table> ReadCurrentTable(time_point limit);
  [[nodiscard]] std::uint64_t LocalVersion() const;
  [[nodiscard]] std::int64_t MillisecondsSince(time_point started) const;

  const clock_source& clock_;
  event_log& log_;
  const platform_codec& codec_;
  replica_host& routing_;
  leader_client& leader_;
  const operator_options options_;
};

}  // namespace hornbeam
