#include "daemon/config_errors.h"

#include <fmt/format.h>

#include <iterator>

namespace hornbeam {

std::string FormatConfigErrors(std::string_view file,
                               const config_errors& errors) {
  std::string out;
  const auto end = std::back_inserter(out);
  for (const config_error& error : errors.errors) {
    fmt::format_to(end, "{}:{}: ", file, error.line);
    if (!error.key.empty()) fmt::format_to(end, "{}: ", error.key);
    out += error.reason;
    if (!error.accepted.empty()) {
      fmt::format_to(end, "; accepted: {}", error.accepted);
    }
    out += '\n';
  }
  return out;
}

}  // namespace hornbeam
