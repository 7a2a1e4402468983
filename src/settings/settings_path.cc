#include "settings/settings_path.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr std::string_view kServicesInfix = "/services/";
constexpr std::size_t kMaxNameLength = 63;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || IsDigit(c) || c == '-' || c == '_';
}

}  // namespace

bool IsSettingsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::ranges::all_of(text, IsNameCharacter) &&
         !std::ranges::all_of(text, IsDigit);
}

std::optional<service_path> ParseServicePath(std::string_view path) {
  const std::size_t at = path.find(kServicesInfix);
  if (at == std::string_view::npos) return std::nullopt;
  const service_path parsed{.team = path.substr(0, at),
                            .service = path.substr(at + kServicesInfix.size())};
  if (!IsSettingsName(parsed.team) || !IsSettingsName(parsed.service))
    return std::nullopt;
  return parsed;
}

}  // namespace hornbeam
