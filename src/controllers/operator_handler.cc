#include "controllers/operator_handler.h"

#include <fmt/format.h>

#include <string>

#include "base/event_log.h"
#include "controllers/replica_host.h"
#include "controllers/replica_status.h"
#include "io/io_loop.h"
#include "replication/replica_options.h"
#include "routing/routing_codec.h"

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

std::string_view OutcomeName(const replica_reply& reply,
                             const std::optional<routing_reply>& decoded) {
  if (decoded) return VerdictName(decoded->verdict);
  const bool is_too_large = !reply && reply.error() == replica_error::kTooLarge;
  return is_too_large ? "too_large" : "unsure";
}

}  // namespace

operator_handler::operator_handler(const clock_source& clock, event_log& log,
                                   const platform_codec& codec,
                                   replica_host& routing, leader_client& leader,
                                   const operator_options& options)
    : clock_(clock),
      log_(log),
      codec_(codec),
      routing_(routing),
      leader_(leader),
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
  const auto* change = std::get_if<routing_change>(&read.value());
  return change != nullptr ? HandleChange(*change) : HandleRead();
}

http_response operator_handler::HandleChange(const routing_change& change) {
  const time_point started = clock_.Now();
  const auto reply = leader_.Propose(EncodeRoutingChange(change),
                                     started + options_.time_limit);
  const auto decoded = reply ? DecodeRoutingReply(reply.value()) : std::nullopt;
  log_.Write(event_id::kRoutingChangeEnded,
             {{"version", change.version},
              {"base", change.base_version},
              {"change", change.change_id.ToString()},
              {"current", decoded ? decoded->current_version : 0},
              {"outcome", OutcomeName(reply, decoded)},
              {"faults", decoded ? decoded->errors.size() : 0},
              {"leader", routing_.Status().leader},
              {"elapsed_ms", MillisecondsSince(started)}});
  if (decoded) return codec_.WriteRoutingReply(*decoded);
  if (!reply && reply.error() == replica_error::kTooLarge) {
    return codec_.WriteError(
        {.reason = fmt::format("the change is larger than {} bytes",
                               kMaxCommandBytes)});
  }
  // The change may or may not have been accepted; the operator sends it again.
  return codec_.WriteUnavailable("no quorum confirmed the change in time");
}

http_response operator_handler::HandleRead() {
  const time_point started = clock_.Now();
  const auto table = ReadCurrentTable(started + options_.time_limit);
  log_.Write(event_id::kRoutingChangeEnded,
             {{"outcome", table ? "read" : "read unsure"},
              {"version", table ? table->version : 0},
              {"leader", routing_.Status().leader},
              {"elapsed_ms", MillisecondsSince(started)}});
  if (table) return codec_.WriteRoutingTable(*table);
  return codec_.WriteUnavailable("no quorum confirmed the version in time");
}

// Only the version comes from the leader, so a read moves no table between
// availability zones.
std::optional<routing_table> operator_handler::ReadCurrentTable(
    time_point limit) {
  const auto reply =
      leader_.Query(EncodeRoutingQuery(routing_query::kVersion), limit);
  const auto confirmed =
      reply ? DecodeRoutingVersion(reply.value()) : std::nullopt;
  if (!confirmed) return std::nullopt;
  while (LocalVersion() < *confirmed) {
    if (clock_.Now() >= limit) return std::nullopt;
    io_loop::SleepFor(kReplicaTickInterval);
  }
  return DecodeRoutingTable(
      routing_.QueryStale(EncodeRoutingQuery(routing_query::kTable)));
}

std::uint64_t operator_handler::LocalVersion() const {
  return DecodeRoutingVersion(
             routing_.QueryStale(EncodeRoutingQuery(routing_query::kVersion)))
      .value_or(0);
}

std::int64_t operator_handler::MillisecondsSince(time_point started) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() -
                                                               started)
      .count();
}

}  // namespace hornbeam
