// Typed access to the settings store for hornbeamctl's commands.
#pragma once

#include <string>

#include "ctl/command_report.h"
#include "ctl/ctl_context.h"
#include "hornbeam/result.h"
#include "settings/settings_messages.h"

namespace hornbeam {

// Sends queries and changes to the settings store and turns every failure into
// the report for the operator. Owned by a command.
class settings_client {
 public:
  // `context` outlives the client.
  explicit settings_client(ctl_context& context);

  // Returns the store's reply to `query`: the documents that match it and the
  // current revision of the team.
  result<document_list, command_report> Query(const settings_query& query);

  // Proposes `change` with the connection's team and token. If no reply arrives
  // in time, it is sent once more, which is safe because of its change id.
  result<accepted_reply, command_report> Change(change_command change);

  // Returns the team of the connection, or else the first segment of `path`.
  [[nodiscard]] std::string TeamOf(const std::string& path) const;

 private:
  ctl_context& context_;
};

}  // namespace hornbeam
