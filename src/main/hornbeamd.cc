// Main program of hornbeamd, the daemon. Runs the role that its settings file
// selects.
#include <iostream>
#include <span>
#include <string>

#include "base/heap_options.h"
#include "base/spdlog_event_log.h"
#include "daemon/command_line.h"
#include "daemon/config_errors.h"
#include "daemon/control_daemon.h"
#include "daemon/daemon_settings.h"
#include "daemon/node_daemon.h"
#include "daemon/stop_signals.h"

namespace hornbeam {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 1;

int Run(const daemon_settings& settings) {
  const auto log = spdlog_event_log::MakeSpdlogEventLog(settings.log.file,
                                                        settings.log.level);
  if (!log) {
    std::cerr << "hornbeamd: cannot open the log file " << settings.log.file
              << "\n";
    return kExitBadSettings;
  }
  return settings.process.role == daemon_role::kNode
             ? RunNode(settings, *log)
             : RunControl(settings, *log);
}

int RunCommand(const daemon_command& command) {
  if (command.action == daemon_action::kHelp) {
    std::cout << DaemonHelp();
    return 0;
  }
  if (command.action == daemon_action::kVersion) {
    std::cout << DaemonVersion();
    return 0;
  }
  const auto settings = ReadDaemonSettingsFile(command.config_file);
  if (!settings) {
    std::cerr << FormatConfigErrors(command.config_file, settings.error());
    return kExitBadSettings;
  }
  if (command.action == daemon_action::kCheck) {
    std::cout << command.config_file << ": ok\n";
    return 0;
  }
  return Run(settings.value());
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  hornbeam::BlockStopSignals();
  hornbeam::ReturnLargeBlocksToSystem();
  const auto command = hornbeam::ParseDaemonCommandLine(
      std::span<const char* const>(argv, static_cast<std::size_t>(argc)));
  if (!command) {
    std::cerr << "hornbeamd: " << command.error().reason << "\n";
    return hornbeam::kExitUsage;
  }
  return hornbeam::RunCommand(command.value());
}
