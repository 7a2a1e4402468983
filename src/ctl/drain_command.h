// Command "hornbeamctl drain NODE".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Adds a node to the drained nodes of its service, or removes it with --undo.
// The rest of the service's document is unchanged.
class drain_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit drain_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
