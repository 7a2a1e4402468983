// Interface that translates between the platform's message formats and the load
// balancer's types. Implementations make no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/header_field.h"
#include "hornbeam/result.h"
#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

struct http_request;
struct http_response;

// Limits that the platform sets for the whole deployment.
struct platform_terms {
  // Limit on the retries that a service may receive from all nodes together in
  // a window: `retry_share` of its requests plus `retry_slack`. A retry is a
  // dispatch after the first one of a request. std::nullopt if the platform
  // sets no limit.
  std::optional<double> retry_share;
  std::optional<std::uint32_t> retry_slack;
  // Time from a stop signal until the platform ends the process by force.
  std::optional<duration> stop_grace;
};

// ---- Callers and upstreams ----

// Information that a caller gives about its request.
struct caller_info {
  std::string id;                     // Empty if the caller gave none.
  std::optional<duration> time_left;  // Empty if the caller set no limit.
  std::string host;
};

// Why the load balancer itself answers a request.
enum class failure_kind : std::uint8_t {
  kNotReady,          // No routing table is known; the call never runs.
  kNoRoute,           // The current table has no route for the request.
  kRejected,          // The call did not run and never will.
  kUnknown,           // The call may have run.
  kDeadlineExceeded,  // No answer before the deadline; the call may have run.
};

struct call_failure {
  failure_kind kind = failure_kind::kRejected;
  duration retry_after{};  // 0 if not given.
  std::string_view reason;
};

// Load of an upstream as reported by itself.
struct upstream_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // Current service time as a percentage of the usual one.
  std::uint32_t slowdown_percent = 100;
};

// Metadata of an upstream's response.
struct upstream_answer {
  bool ran = true;  // False only if the upstream reports that it did not run.
  bool has_signature = false;  // Carries the upstream's own signature.
  bool is_encoded = false;     // The body is not as the upstream made it.
  std::optional<upstream_load> load;
};

struct health_answer {
  bool healthy = false;
  std::string instance;
  std::optional<upstream_load> load;
};

// ---- Messages of an upstream to its node ----

// Announcement of one incarnation of an upstream.
struct instance_announcement {
  std::string instance;
  std::int64_t started_at_ms = 0;  // Unix time in ms by the upstream's clock.
  std::uint64_t sequence = 0;      // Increases within one incarnation.
  std::string service;
  std::string address;  // "ip:port"
  std::uint32_t slots = 0;
  bool draining = false;
  duration cold_start_remaining{};  // Remaining time of the cold start.

  bool operator==(const instance_announcement&) const = default;
};

// The upstream leaves: it gets no new calls.
struct instance_withdrawal {
  std::string instance;
  std::int64_t started_at_ms = 0;  // 0 if not given.
};

// Query of the platform whether this node accepts callers.
struct readiness_check {};

using node_request =
    std::variant<readiness_check, instance_announcement, instance_withdrawal>;

// ---- Operators ----

// Requests the newest routing table.
struct routing_read {};

using operator_request = std::variant<routing_change, routing_read>;

// Why a message could not be decoded. `known` is false for a request that the
// platform does not define.
struct codec_error {
  bool known = true;
  std::string reason;
};

// Implementations are stateless and thread-safe.
class platform_codec {
 public:
  platform_codec() = default;
  platform_codec(const platform_codec&) = delete;
  platform_codec& operator=(const platform_codec&) = delete;
  virtual ~platform_codec() = default;

  // Reads the limits from `text`, the value of the setting. Members that the
  // load balancer does not need are ignored.
  [[nodiscard]] virtual result<platform_terms, codec_error> ReadTerms(
      std::string_view text) const = 0;

  // ---- Callers and upstreams ----

  [[nodiscard]] virtual caller_info ReadCaller(
      const http_request& request) const = 0;
  // Returns the caller's fields that are forwarded to an upstream, with
  // `caller_service` as the originating service regardless of what the caller
  // sent.
  [[nodiscard]] virtual std::vector<header_field> MakeForwardedFields(
      const http_request& request, std::string_view caller_service) const = 0;
  // Sets the fields that are specific to one dispatch: the expected instance
  // and the time left.
  virtual void AddDispatchFields(std::vector<header_field>& fields,
                                 std::string_view instance,
                                 duration time_left) const = 0;
  [[nodiscard]] virtual upstream_answer ReadAnswer(
      unsigned status, const std::vector<header_field>& fields) const = 0;
  [[nodiscard]] virtual health_answer ReadHealth(
      const http_response& response) const = 0;
  [[nodiscard]] virtual http_response WriteFailure(
      const call_failure& failure, std::string_view request_id) const = 0;
  // Returns the name of the request field that an upstream echoes unchanged in
  // its answer.
  [[nodiscard]] virtual std::string_view EchoedField() const = 0;

  // ---- Messages of an upstream to its node ----

  [[nodiscard]] virtual result<node_request, codec_error> ReadNodeRequest(
      const http_request& request) const = 0;
  [[nodiscard]] virtual http_response WriteReadiness(bool ready) const = 0;
  [[nodiscard]] virtual http_response WriteAcknowledgement() const = 0;
  [[nodiscard]] virtual http_response WriteError(
      const codec_error& error) const = 0;

  // ---- Operators ----

  [[nodiscard]] virtual result<operator_request, codec_error>
  ReadOperatorRequest(const http_request& request) const = 0;
  [[nodiscard]] virtual http_response WriteRoutingReply(
      const routing_reply& reply) const = 0;
  [[nodiscard]] virtual http_response WriteRoutingTable(
      const routing_table& table) const = 0;
  // Reports that the state cannot be determined now; the operator may retry.
  [[nodiscard]] virtual http_response WriteUnavailable(
      std::string_view reason) const = 0;
};

}  // namespace hornbeam
