// Functions shared by the commands that write, delete and check documents.
#pragma once

#include <optional>
#include <string>

#include "ctl/command_report.h"
#include "ctl/ctl_command.h"
#include "ctl/ctl_context.h"

namespace hornbeam {

// Proposes `document` for `path`, or the deletion of `path` if it is empty, and
// waits until the change is in force. The expected revision is that of
// `arguments`, or else the current one.
command_report ChangeDocument(ctl_context& context, const std::string& path,
                              std::optional<std::string> document,
                              const ctl_arguments& arguments);

// Returns the text of the file `name`, or of the context's input if `name` is
// "-". Returns std::nullopt if it cannot be read.
std::optional<std::string> ReadDocument(ctl_context& context,
                                        const std::string& name);

// Returns the report for a file that ReadDocument could not read.
command_report ReportUnreadableFile(const std::string& name);

}  // namespace hornbeam
