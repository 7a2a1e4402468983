// Formats changes of the settings store as report rows.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "ctl/command_report.h"
#include "settings/settings_messages.h"

namespace hornbeam {

// Returns one row per change: path, revision, whether it is a deletion, time of
// acceptance and change id.
std::vector<report_row> MakeChangeRows(std::span<const change_record> changes);

// Formats microseconds since the Unix epoch as "2026-05-01T12:00:00Z".
std::string FormatUtc(std::int64_t microseconds);

}  // namespace hornbeam
