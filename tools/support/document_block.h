// Generated blocks of Markdown documents.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

// Returns `text` with everything between the lines "<!-- begin NAME -->" and
// "<!-- end NAME -->" replaced by `content`; std::nullopt when a marker line is
// missing.
std::optional<std::string> ReplaceBlock(std::string_view text,
                                        std::string_view name,
                                        std::string_view content);

}  // namespace hornbeam
