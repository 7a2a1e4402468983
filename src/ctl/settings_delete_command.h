// Command "hornbeamctl settings delete PATH".
#pragma once

#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Deletes a document and waits until every node has applied the deletion.
class settings_delete_command final : public ctl_command {
 public:
  // `context` outlives the command.
  explicit settings_delete_command(ctl_context& context) : context_(context) {}

  command_report Run(const ctl_arguments& arguments) override;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
