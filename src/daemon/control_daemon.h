// The role control: holds replicas of the stores and the leases of all nodes.
#pragma once

namespace hornbeam {

class event_log;
class platform_codec;
struct daemon_settings;

// Runs until a signal asks to stop. Returns the process's exit code.
// `codec` speaks a platform's words; null without a platform.
int RunControl(const daemon_settings& settings, event_log& log,
               const platform_codec* codec = nullptr);

}  // namespace hornbeam
