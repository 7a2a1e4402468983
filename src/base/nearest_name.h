// Suggests the closest valid name for a mistyped one.
#pragma once

#include <span>
#include <string_view>

namespace hornbeam {

// Returns the entry of `names` with the smallest edit distance to `name`.
// Returns an empty view if that distance is at least half of the entry's
// length, if `name` is longer than 128 characters, or if `names` is empty.
std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> names);

}  // namespace hornbeam
