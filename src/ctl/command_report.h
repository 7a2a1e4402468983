// Result of a hornbeamctl command.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ctl/exit_code.h"

namespace hornbeam {

// One named value of a row.
struct report_field {
  std::string name;
  std::variant<std::uint64_t, bool, std::string> value;
};

// One row of a table. All rows of a report have the same field names in the
// same order.
struct report_row {
  std::vector<report_field> fields;
};

// Result of a command, independent of the output format.
struct command_report {
  exit_code code = exit_code::kOk;
  std::string message;    // One sentence; may be empty.
  std::string next_step;  // Suggested action of the operator; empty on success.
  std::vector<report_row> rows;
  std::optional<std::string> document;  // Text that is printed unchanged.
};

// Makes a report that consists of a failure and the suggested next step.
inline command_report MakeFailure(exit_code code, std::string message,
                                  std::string next_step) {
  command_report report;
  report.code = code;
  report.message = std::move(message);
  report.next_step = std::move(next_step);
  return report;
}

}  // namespace hornbeam
