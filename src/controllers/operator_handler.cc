#include "controllers/operator_handler.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "controllers/replica_host.h"
#include "controllers/replica_status.h"
#include "io/fiber_signal.h"
#include "routing/routing_codec.h"
#include "wire/endpoint.h"

namespace hornbeam {

namespace {

std::string_view VerdictName(routing_verdict verdict) {
  switch (verdict) {
    case routing_verdict::kAccepted:
      return "accepted";
    case routing_verdict::kStale:
      return "stale";
    case routing_verdict::kInvalid:
      return "invalid";
  }
  return "invalid";
}

}  // namespace

operator_handler::operator_handler(const clock_source& clock, event_log& log,
                                   const platform_codec& codec,
                                   replica_host& routing,
                                   const operator_options& options)
    : clock_(clock),
      log_(log),
      codec_(codec),
      routing_(routing),
      options_(options) {}

http_response operator_handler::Handle(const http_request& request,
                                       cancel_source& /*caller_disconnected*/) {
  const auto read = codec_.ReadOperatorRequest(request);
  if (!read) {
    log_.Write(event_id::kRoutingChangeEnded,
               {{"target", request.target},
                {"outcome", "unreadable"},
                {"reason", read.error().reason}});
    return codec_.WriteError(read.error());
  }
  if (routing_.Status().role != replica_role::kLeader) {
    return RedirectToLeader(request);
  }
  const auto* change = std::get_if<routing_change>(&read.value());
  return change != nullptr ? HandleChange(request, *change)
                           : HandleRead(request);
}

http_response operator_handler::RedirectToLeader(const http_request& request) {
  const auto leader = endpoint::Parse(routing_.Status().leader);
  log_.Write(event_id::kRoutingChangeEnded,
             {{"target", request.target},
              {"outcome", leader ? "redirected" : "no leader"},
              {"leader", leader ? leader->ToString() : std::string()}});
  if (!leader) return codec_.WriteUnavailable("no leader is known");
  return codec_.WriteRedirect(
      endpoint{.host = leader->host, .port = options_.port}.ToString(),
      request);
}

http_response operator_handler::HandleChange(const http_request& request,
                                             const routing_change& change) {
  const auto reply_signal = std::make_shared<fiber_signal<replica_reply>>();
  const time_point limit = clock_.Now() + options_.time_limit;
  routing_.Propose(EncodeRoutingChange(change), limit,
                   [reply_signal](replica_reply reply) {
                     reply_signal->Set(std::move(reply));
                   });
  const replica_reply* reply =
      reply_signal->WaitUntil(limit + options_.time_limit);
  const auto decoded = reply != nullptr && *reply
                           ? DecodeRoutingReply(reply->value())
                           : std::nullopt;
  log_.Write(event_id::kRoutingChangeEnded,
             {{"version", change.version},
              {"base", change.base_version},
              {"change", change.change_id.ToString()},
              {"current", decoded ? decoded->current_version : 0},
              {"outcome", decoded ? VerdictName(decoded->verdict) : "unsure"},
              {"faults", decoded ? decoded->errors.size() : 0}});
  if (decoded) return codec_.WriteRoutingReply(*decoded);
  // The change may or may not have been accepted; the operator sends it again.
  if (reply != nullptr && reply->error() == replica_error::kNotLeader) {
    return RedirectToLeader(request);
  }
  return codec_.WriteUnavailable("no quorum confirmed the change in time");
}

http_response operator_handler::HandleRead(const http_request& request) {
  const auto reply_signal = std::make_shared<fiber_signal<replica_reply>>();
  const time_point limit = clock_.Now() + options_.time_limit;
  routing_.Query(EncodeRoutingQuery(routing_query::kTable), limit,
                 [reply_signal](replica_reply reply) {
                   reply_signal->Set(std::move(reply));
                 });
  const replica_reply* reply =
      reply_signal->WaitUntil(limit + options_.time_limit);
  const auto table = reply != nullptr && *reply
                         ? DecodeRoutingTable(reply->value())
                         : std::nullopt;
  log_.Write(event_id::kRoutingChangeEnded,
             {{"outcome", table ? "read" : "read unsure"},
              {"version", table ? table->version : 0}});
  if (table) return codec_.WriteRoutingTable(*table);
  if (reply != nullptr && reply->error() == replica_error::kNotLeader) {
    return RedirectToLeader(request);
  }
  return codec_.WriteUnavailable("no quorum confirmed the version in time");
}

}  // namespace hornbeam
