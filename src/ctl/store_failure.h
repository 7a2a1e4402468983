// Reports for failures that are common to all commands.
#pragma once

#include <span>

#include "base/store_client.h"
#include "ctl/command_report.h"
#include "ctl/ctl_connection.h"

namespace hornbeam {

struct settings_error;

// Returns the report for a failed query or command of a store.
command_report ReportStoreError(store_error error,
                                const ctl_connection& connection);

// Returns the report for a reply that this version of hornbeamctl cannot
// decode.
command_report ReportUndecodableReply();

// Returns the report that lists all errors of a rejected document.
command_report ReportDocumentErrors(std::span<const settings_error> errors);

}  // namespace hornbeam
