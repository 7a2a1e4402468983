// HTTP requests and responses, independent of the HTTP library.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/header_field.h"

namespace hornbeam {

struct http_request {
  std::string method;
  std::string target;
  std::vector<header_field> headers;  // In the order of the message.
  std::string body;

  // Returns the value of the first field named `name`, ignoring case, or
  // std::nullopt if there is none.
  [[nodiscard]] std::optional<std::string_view> Header(
      std::string_view name) const;
};

struct http_response {
  unsigned status = 200;
  std::vector<header_field> headers;
  std::string body;

  // Same as http_request::Header.
  [[nodiscard]] std::optional<std::string_view> Header(
      std::string_view name) const;
};

// Returns a response with a plain text body.
http_response MakeTextResponse(unsigned status, std::string text);

// Compares field names case-insensitively.
bool SameFieldName(std::string_view left, std::string_view right);

// Returns true for fields that apply to a single connection and are never
// forwarded.
bool IsHopByHopField(std::string_view name);

}  // namespace hornbeam
