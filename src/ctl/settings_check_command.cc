#include "ctl/settings_check_command.h"

#include <fmt/format.h>

#include "ctl/settings_change.h"
#include "ctl/store_failure.h"
#include "settings/service_schema.h"
#include "settings/settings_path.h"

namespace hornbeam {

command_report settings_check_command::Run(const ctl_arguments& arguments) {
  const std::string& path = arguments.operands.at(0);
  const std::string& file = arguments.operands.at(1);
  if (!ParseServicePath(path)) {
    return MakeFailure(exit_code::kInvalidInput,
                       fmt::format("'{}' is not the path of a document", path),
                       "pass a path of the form TEAM/services/NAME");
  }
  const auto document = ReadDocument(context_, file);
  if (!document) return ReportUnreadableFile(file);
  const auto checked = ReadServiceSettings(path, *document);
  if (!checked.errors.empty()) return ReportDocumentErrors(checked.errors);
  command_report report;
  report.message = "no errors";
  return report;
}

}  // namespace hornbeam
