// Command "hornbeamctl operations".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Lists operations whose unknown outcome an operator has to resolve, or
// acknowledges one.
class operations_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit operations_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
