// Command "hornbeamctl status".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Shows the stores, and each node with its upstream and settings revision.
class status_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit status_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
