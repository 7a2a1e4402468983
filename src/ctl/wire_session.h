// Session of hornbeamctl over network connections to the control VMs.
#pragma once

#include <memory>

#include "ctl/ctl_main.h"

namespace hornbeam {

// Makes a session, which owns the I/O loop of its thread. Call it on the main
// thread; at most one session exists at a time. `connection` outlives the
// session.
std::unique_ptr<ctl_session> MakeWireSession(const ctl_connection& connection);

}  // namespace hornbeam
