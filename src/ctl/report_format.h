// Text and JSON output of hornbeamctl.
#pragma once

#include <cstdint>
#include <string>

#include "ctl/command_report.h"

namespace hornbeam {

enum class output_format : std::uint8_t { kText, kJson };

// Formats the standard output: a table or document with a message, or one JSON
// object.
std::string FormatOutput(const command_report& report, output_format format);

// Formats the standard error output: the failure and the next step of a text
// report. Returns an empty string for JSON, which contains them itself.
std::string FormatDiagnostic(const command_report& report,
                             output_format format);

}  // namespace hornbeam
