// Daemon of the role "node": accepts calls from callers and serves those for
// its upstream.
#pragma once

namespace hornbeam {

class event_log;
struct daemon_settings;

// Runs until a stop signal arrives and all calls in flight have completed, or
// until the drain timeout or a second stop signal aborts them. Returns the exit
// code of the process.
int RunNode(const daemon_settings& settings, event_log& log);

}  // namespace hornbeam
