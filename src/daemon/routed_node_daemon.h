// The role "node" on a platform whose requests follow a routing table.
#pragma once

#include <string>

namespace hornbeam {

class event_log;
class platform_codec;
struct daemon_settings;

// Runs until a stop signal. Returns the exit code of the process. The settings
// file at `settings_path` is read again on a hang-up signal.
int RunRoutedNode(const daemon_settings& settings,
                  const std::string& settings_path, event_log& log,
                  const platform_codec& codec);

}  // namespace hornbeam
