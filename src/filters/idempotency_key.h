// Idempotency keys and idempotent methods of callers' requests.
#pragma once

#include <optional>
#include <string_view>

#include "hornbeam/request_id.h"

namespace hornbeam {

// Parses a UUIDv7 in the text form of RFC 9562, with hyphens and in either
// case. Returns std::nullopt for any other text.
std::optional<request_id> ParseIdempotencyKey(std::string_view text);

// Returns true for methods that HTTP defines as idempotent.
bool IsIdempotentMethod(std::string_view method);

}  // namespace hornbeam
