#include "base/event_table.h"

#include <fmt/format.h>

#include <iterator>

#include "base/event_catalogue.h"

namespace hornbeam {

namespace {

std::string_view LevelName(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return "debug";
    case event_level::kInfo:
      return "info";
    case event_level::kWarning:
      return "warning";
    case event_level::kError:
      return "error";
  }
  return "";
}

}  // namespace

std::string FormatEventTable() {
  std::string out =
      "| Number | Name | Level | Meaning |\n"
      "|---|---|---|---|\n";
  for (const event_info& info : EventCatalogue()) {
    fmt::format_to(std::back_inserter(out), "| {} | `{}` | {} | {} |\n",
                   static_cast<unsigned>(info.id), info.name,
                   LevelName(info.level), info.meaning);
  }
  return out;
}

}  // namespace hornbeam
