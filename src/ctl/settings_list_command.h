// Command "hornbeamctl settings list [PREFIX]".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Lists the documents under a prefix, or those of the connection's team if no
// prefix is given.
class settings_list_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_list_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
