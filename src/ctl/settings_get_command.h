// Command "hornbeamctl settings get PATH".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Prints the current document, as confirmed by a quorum.
class settings_get_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_get_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
