// Daemon of the role "control": hosts replicas of the stores and tracks the
// leases of all nodes.
#pragma once

namespace hornbeam {

class event_log;
class platform_codec;
struct daemon_settings;

// Runs until a stop signal arrives. Returns the exit code of the process.
// `codec` translates the platform's messages; null without a platform.
int RunControl(const daemon_settings& settings, event_log& log,
               const platform_codec* codec = nullptr);

}  // namespace hornbeam
