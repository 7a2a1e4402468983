// Daemon of the role "node" on a platform whose requests are routed by a
// routing table.
#pragma once

#include <string>

namespace hornbeam {

class event_log;
class platform_codec;
struct daemon_settings;

// Runs until a stop signal arrives and all calls in flight have completed, or
// until the drain timeout or a second stop signal aborts them. Returns the exit
// code of the process. On SIGHUP the settings file at `settings_path` is read
// again.
int RunRoutedNode(const daemon_settings& settings,
                  const std::string& settings_path, event_log& log,
                  const platform_codec& codec);

}  // namespace hornbeam
