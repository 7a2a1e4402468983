#include "ctl/settings_delete_command.h"

#include "ctl/settings_change.h"

namespace hornbeam {

command_report settings_delete_command::Run(const ctl_arguments& arguments) {
  return ChangeDocument(context_, arguments.operands.at(0), std::nullopt,
                        arguments);
}

}  // namespace hornbeam
