#include "filters/deadline_filter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "filters/failure_response.h"

namespace hornbeam {

namespace {

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || number == 0) return std::nullopt;
  return std::chrono::milliseconds(number);
}

}  // namespace

http_response deadline_filter::Apply(call_context& call,
                                     call_continuation& rest) {
  const service_policy& policy = call.service->Policy();
  if (call.request.body.size() > policy.body_limit_bytes) {
    return MakeFailure(413, outcome::kNotRun,
                       "the body is above the service's limit");
  }
  duration timeout = policy.default_deadline;
  if (const auto field = call.request.Header("Hornbeam-Deadline-Ms")) {
    const auto requested = ParseMilliseconds(*field);
    if (!requested) {
      return MakeFailure(
          400, outcome::kNotRun,
          "Hornbeam-Deadline-Ms must be a whole number of milliseconds");
    }
    timeout = std::min<duration>(*requested, policy.max_deadline);
  }
  call.deadline = call.received_at + timeout;
  return rest.Proceed(call);
}

}  // namespace hornbeam
