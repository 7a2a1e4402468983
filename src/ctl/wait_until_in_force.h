// Waits until an accepted change is in force on all nodes.
#pragma once

#include <chrono>

#include "ctl/command_report.h"
#include "ctl/ctl_context.h"
#include "settings/settings_messages.h"

namespace hornbeam {

// Polls the revisions of the nodes until every node applies `accepted` or until
// `wait` has passed, and reports the nodes that lag. With a wait of 0 it does
// not poll at all.
command_report WaitUntilInForce(ctl_context& context,
                                const accepted_reply& accepted,
                                std::chrono::milliseconds wait);

}  // namespace hornbeam
