// Command line of hornbeamd.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "hornbeam/result.h"

namespace hornbeam {

// Action that the command line selects.
enum class daemon_action : std::uint8_t { kRun, kCheck, kVersion, kHelp };

struct daemon_command {
  daemon_action action = daemon_action::kRun;
  std::string config_file;  // Empty for kVersion and kHelp only.
};

// Reason why a command line is invalid.
struct command_line_error {
  std::string reason;
};

// Parses the arguments of `main`; the first one is the program's name.
result<daemon_command, command_line_error> ParseDaemonCommandLine(
    std::span<const char* const> arguments);

// Returns the text of --help.
std::string DaemonHelp();

// Returns the text of --version.
std::string DaemonVersion();

}  // namespace hornbeam
