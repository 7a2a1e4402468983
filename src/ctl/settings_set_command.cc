#include "ctl/settings_set_command.h"

#include "ctl/settings_change.h"

namespace hornbeam {

command_report settings_set_command::Run(const ctl_arguments& arguments) {
  const std::string& file = arguments.operands.at(1);
  auto document = ReadDocument(context_, file);
  if (!document) return ReportUnreadableFile(file);
  return ChangeDocument(context_, arguments.operands.at(0), std::move(document),
                        arguments);
}

}  // namespace hornbeam
