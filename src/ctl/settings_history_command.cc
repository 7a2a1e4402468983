#include "ctl/settings_history_command.h"

#include "ctl/change_rows.h"
#include "ctl/settings_client.h"

namespace hornbeam {

namespace {

constexpr std::uint32_t kDefaultLimit = 20;

}  // namespace

command_report settings_history_command::Run(const ctl_arguments& arguments) {
  const auto found = settings_client(context_).Query(
      history_query{.path = arguments.operands.at(0),
                    .limit = arguments.limit.value_or(kDefaultLimit)});
  if (!found) return found.error();
  command_report report;
  report.rows = MakeChangeRows(found.value().documents);
  if (report.rows.empty()) report.message = "no changes";
  return report;
}

}  // namespace hornbeam
