// Command "hornbeamctl settings check PATH FILE".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Validates a document locally, without contacting a control VM.
class settings_check_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_check_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
