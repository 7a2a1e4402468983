#include "support/document_block.h"

#include <fmt/format.h>

namespace hornbeam {

std::optional<std::string> ReplaceBlock(std::string_view text,
                                        std::string_view name,
                                        std::string_view content) {
  const std::string begin = fmt::format("<!-- begin {} -->\n", name);
  const std::string end = fmt::format("<!-- end {} -->\n", name);
  const auto from = text.find(begin);
  if (from == std::string_view::npos) return std::nullopt;
  const auto to = text.find(end, from);
  if (to == std::string_view::npos) return std::nullopt;
  return fmt::format("{}{}{}", text.substr(0, from + begin.size()), content,
                     text.substr(to));
}

}  // namespace hornbeam
