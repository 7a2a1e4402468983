// How the platform's words are read and written. The product decides; a codec
// only translates.
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

// What the platform holds the whole deployment to.
struct platform_terms {
  // Dispatches beyond the first of each request that a service may get from all
  // nodes together in a window: this share of its requests, and `repeat_slack`
  // more. Nothing where the platform names no bound.
  std::optional<double> repeat_share;
  std::optional<std::uint32_t> repeat_slack;
};

// ---- Callers and upstreams ----

// What a caller says about its request.
struct caller_statement {
  std::string id;                     // Empty when the caller gave none.
  std::optional<duration> time_left;  // Nothing when the caller set no limit.
  std::string host;
};

// Why the system itself answers a request.
enum class failure_kind : std::uint8_t {
  kNotReady,  // No routing table is known. Did not run and never will.
  kNoRoute,   // The table in force has no route for it.
  kRejected,  // Did not run and never will.
  kUnknown,   // It may have run.
  kTooLate,   // No answer within the deadline; it may have run.
};

struct call_failure {
  failure_kind kind = failure_kind::kRejected;
  duration retry_after{};  // 0: nothing is said.
  std::string_view reason;
};

// The load of an upstream as it states it.
struct upstream_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes now, in hundredths of the usual time.
  std::uint32_t slowdown_percent = 100;
};

// What an upstream's response says beside its content.
struct upstream_answer {
  bool ran = true;       // False only when the upstream states that it did not.
  bool genuine = false;  // Bears the upstream's own signature.
  std::optional<upstream_load> load;
};

struct health_answer {
  bool healthy = false;
  std::string instance;
  std::optional<upstream_load> load;
};

// ---- The upstream's own words to its node ----

// One start of an upstream, as it announces itself.
struct instance_announcement {
  std::string instance;
  std::int64_t started_at_ms = 0;  // Milliseconds since 1970, by its own clock.
  std::uint64_t sequence = 0;      // Grows with each announcement of one start.
  std::string service;
  std::string address;  // "ip:port"
  std::uint32_t slots = 0;
  bool draining = false;
  duration cold_for{};  // Still slow for so long.

  bool operator==(const instance_announcement&) const = default;
};

// The upstream leaves: it gets no new work.
struct instance_withdrawal {
  std::string instance;
  std::int64_t started_at_ms = 0;  // 0: not said.
};

// The platform asks whether callers may be sent here.
struct readiness_check {};

using node_request =
    std::variant<readiness_check, instance_announcement, instance_withdrawal>;

// ---- Operators ----

// Asks for the newest routing table.
struct routing_read {};

using operator_request = std::variant<routing_change, routing_read>;

// Why a message could not be read. `known` is false for a call that the
// platform does not name.
struct codec_fault {
  bool known = true;
  std::string reason;
};

// Implementations have no state; for any thread.
class platform_codec {
 public:
  platform_codec() = default;
  platform_codec(const platform_codec&) = delete;
  platform_codec& operator=(const platform_codec&) = delete;
  virtual ~platform_codec() = default;

  // `text` is what the settings hold; terms that the product doesn't need are
  // passed over.
  [[nodiscard]] virtual result<platform_terms, codec_fault> ReadTerms(
      std::string_view text) const = 0;

  // ---- Callers and upstreams ----

  [[nodiscard]] virtual caller_statement ReadCaller(
      const http_request& request) const = 0;
  // The caller's fields that go on to an upstream, with `caller_service` as the
  // service where the request began, whatever the caller said.
  [[nodiscard]] virtual std::vector<header_field> MakeForwardedFields(
      const http_request& request, std::string_view caller_service) const = 0;
  // Completes the fields for one dispatch.
  virtual void StampDispatch(std::vector<header_field>& fields,
                             std::string_view instance,
                             duration time_left) const = 0;
  [[nodiscard]] virtual upstream_answer ReadAnswer(
      unsigned status, const std::vector<header_field>& fields) const = 0;
  [[nodiscard]] virtual health_answer ReadHealth(
      const http_response& response) const = 0;
  [[nodiscard]] virtual http_response WriteFailure(
      const call_failure& failure, std::string_view request_id) const = 0;
  // The field that an upstream repeats from the request.
  [[nodiscard]] virtual std::string_view EchoedField() const = 0;

  // ---- The upstream's own words to its node ----

  [[nodiscard]] virtual result<node_request, codec_fault> ReadNodeRequest(
      const http_request& request) const = 0;
  [[nodiscard]] virtual http_response WriteReadiness(bool ready) const = 0;
  [[nodiscard]] virtual http_response WriteAcknowledgement() const = 0;
  [[nodiscard]] virtual http_response WriteFault(
      const codec_fault& fault) const = 0;

  // ---- Operators ----

  [[nodiscard]] virtual result<operator_request, codec_fault>
  ReadOperatorRequest(const http_request& request) const = 0;
  [[nodiscard]] virtual http_response WriteRoutingReply(
      const routing_reply& reply) const = 0;
  [[nodiscard]] virtual http_response WriteRoutingTable(
      const routing_table& table) const = 0;
  // Another control VM can answer; `address` is "ip:port".
  [[nodiscard]] virtual http_response WriteRedirect(
      std::string_view address, const http_request& request) const = 0;
  // Nobody can tell now; the caller asks again.
  [[nodiscard]] virtual http_response WriteNotSure(
      std::string_view reason) const = 0;
};

}  // namespace hornbeam
