#include "http/http_messages.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <span>
#include <utility>

namespace hornbeam {

namespace {

constexpr auto kHopByHopFields = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer",
     "transfer-encoding", "upgrade", "content-length"});

std::optional<std::string_view> FindField(std::span<const header_field> fields,
                                          std::string_view name) {
  const auto found =
      std::ranges::find_if(fields, [name](const header_field& field) {
        return SameFieldName(field.name, name);
      });
  if (found == fields.end()) return std::nullopt;
  return found->value;
}

}  // namespace

std::optional<std::string_view> http_request::Header(
    std::string_view name) const {
  return FindField(headers, name);
}

std::optional<std::string_view> http_response::Header(
    std::string_view name) const {
  return FindField(headers, name);
}

http_response MakeTextResponse(unsigned status, std::string text) {
  return http_response{.status = status,
                       .headers = {{"Content-Type", "text/plain"}},
                       .body = std::move(text)};
}

bool SameFieldName(std::string_view left, std::string_view right) {
  return boost::beast::iequals(left, right);
}

bool IsHopByHopField(std::string_view name) {
  return std::ranges::any_of(kHopByHopFields, [name](std::string_view field) {
    return SameFieldName(field, name);
  });
}

}  // namespace hornbeam
