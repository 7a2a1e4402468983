// Formats the event catalogue as a table for docs/EVENTS.md.
#pragma once

#include <string>

namespace hornbeam {

// Returns a Markdown table with one row per event, sorted by number.
std::string FormatEventTable();

}  // namespace hornbeam
