// Command "hornbeamctl settings history PATH".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Lists the retained changes of a document or a team, the latest first.
class settings_history_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_history_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
