// What is wrong with a settings file.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// One fault.
struct config_fault {
  std::size_t line = 0;  // From 1; 0 for something that is missing.
  std::string key;       // "section.key"; empty for a line that is no setting.
  std::string reason;
  std::string accepted;  // What would be accepted; may be empty.
};

// All faults of a file, sorted by line.
struct config_faults {
  std::vector<config_fault> errors;
};

// One line for each fault: "FILE:LINE: section.key: reason; accepted: ...".
std::string FormatFaults(std::string_view file, const config_faults& errors);

}  // namespace hornbeam
