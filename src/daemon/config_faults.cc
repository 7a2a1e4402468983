#include "daemon/config_faults.h"

#include <fmt/format.h>

#include <iterator>

namespace hornbeam {

std::string FormatFaults(std::string_view file, const config_faults& errors) {
  std::string out;
  const auto end = std::back_inserter(out);
  for (const config_fault& fault : errors.errors) {
    fmt::format_to(end, "{}:{}: ", file, fault.line);
    if (!fault.key.empty()) fmt::format_to(end, "{}: ", fault.key);
    out += fault.reason;
    if (!fault.accepted.empty()) {
      fmt::format_to(end, "; accepted: {}", fault.accepted);
    }
    out += '\n';
  }
  return out;
}

}  // namespace hornbeam
