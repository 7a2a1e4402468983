#include "filters/outgoing_request.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace hornbeam {

namespace {

constexpr auto kReplacedFields = std::to_array<std::string_view>(
    {"Hornbeam-Deadline-Ms", "Hornbeam-Request-Id"});

bool IsForwarded(const header_field& field) {
  const auto is_replaced = [&field](std::string_view name) {
    return SameFieldName(field.name, name);
  };
  return !IsHopByHopField(field.name) &&
         !std::ranges::any_of(kReplacedFields, is_replaced);
}

}  // namespace

std::vector<header_field> ForwardedFields(const http_request& request) {
  std::vector<header_field> forwarded;
  std::ranges::copy_if(request.headers, std::back_inserter(forwarded),
                       IsForwarded);
  return forwarded;
}

outgoing_call MakeOutgoingCall(const call_context& call,
                               std::span<const header_field> fields) {
  return outgoing_call{.id = call.id,
                       .method = call.request.method,
                       .target = call.request.target,
                       .headers = fields,
                       .body = call.request.body,
                       .kind = call.kind,
                       .idempotent = call.idempotent,
                       .deadline = call.deadline,
                       .cancel = &call.caller_disconnected};
}

}  // namespace hornbeam
