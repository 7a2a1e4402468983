// Errors of a daemon's settings file.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// One error of a settings file.
struct config_error {
  std::size_t line = 0;  // From 1; 0 for a missing key or an unreadable file.
  std::string key;       // "section.key"; empty if the line is not a setting.
  std::string reason;
  std::string accepted;  // Description of the accepted values; may be empty.
};

// All errors of a file, sorted by line.
struct config_errors {
  std::vector<config_error> errors;
};

// Formats one line per error: "FILE:LINE: section.key: reason; accepted: ...".
std::string FormatConfigErrors(std::string_view file,
                               const config_errors& errors);

}  // namespace hornbeam
