// Command "hornbeamctl settings set PATH FILE".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Writes a document and waits until every node has applied it.
class settings_set_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_set_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
