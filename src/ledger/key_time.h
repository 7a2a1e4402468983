// Time of issue of an idempotency key.
#pragma once

#include <cstdint>
#include <optional>

#include "hornbeam/request_id.h"

namespace hornbeam {

// Returns the time at which the UUIDv7 `key` was issued, in milliseconds since
// 1970, or std::nullopt if `key` is not a UUIDv7.
std::optional<std::int64_t> KeyIssuedAtMs(const request_id& key);

}  // namespace hornbeam
