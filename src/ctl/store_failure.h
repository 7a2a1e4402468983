// Reports of failures that any command can meet.
#pragma once

#include <span>

#include "base/store_client.h"
#include "ctl/command_report.h"
#include "ctl/ctl_connection.h"

namespace hornbeam {

struct settings_error;

// What a store's failure means for the operator.
command_report ReportStoreError(store_error error,
                                const ctl_connection& connection);

// A reply that this version of hornbeamctl cannot read.
command_report ReportUnreadable();

// All faults of a document that was not accepted.
command_report ReportFaults(std::span<const settings_error> faults);

}  // namespace hornbeam
