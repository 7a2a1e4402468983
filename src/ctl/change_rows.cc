#include "ctl/change_rows.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace hornbeam {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

}  // namespace

std::vector<report_row> MakeChangeRows(std::span<const change_record> changes) {
  std::vector<report_row> rows;
  for (const change_record& change : changes) {
    rows.push_back({{{"path", change.path},
                     {"revision", change.revision},
                     {"deleted", !change.document.has_value()},
                     {"accepted_at", FormatUtc(change.accepted_at_us)},
                     {"change_id", change.change_id.ToString()}}});
  }
  return rows;
}

std::string FormatUtc(std::int64_t microseconds) {
  const auto seconds =
      static_cast<std::time_t>(microseconds / kMicrosecondsPerSecond);
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

}  // namespace hornbeam
