// Parsing of the paths of settings documents.
#pragma once

#include <optional>
#include <string_view>

namespace hornbeam {

// The parts of "TEAM/services/NAME". The views refer to the parsed path.
struct service_path {
  std::string_view team;
  std::string_view service;
};

// Returns whether `text` is a valid name of a team or service: 1 to 63
// characters of a-z, 0-9, '-' and '_', and not all digits. Such a name can be a
// label of a host name and cannot be confused with a part of an IP address.
bool IsSettingsName(std::string_view text);

// Returns the parts of `path`, or std::nullopt if it is not the path of a
// service.
std::optional<service_path> ParseServicePath(std::string_view path);

}  // namespace hornbeam
