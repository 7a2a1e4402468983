// Command line of hornbeamctl.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/ctl_command.h"
#include "ctl/ctl_connection.h"
#include "ctl/ctl_context.h"
#include "ctl/report_format.h"
#include "hornbeam/result.h"

namespace hornbeam {

// Command-line syntax and factory of one command.
struct ctl_command_info {
  std::string_view name;      // One or two words.
  std::string_view operands;  // As shown by --help.
  std::string_view meaning;
  std::size_t min_operands;               // Minimum number of operands.
  std::size_t max_operands;               // Maximum number of operands.
  std::vector<std::string_view> options;  // Besides those of all commands.
  std::unique_ptr<ctl_command> (*make)(ctl_context& context);
};

// Returns all commands, in the order of --help.
std::span<const ctl_command_info> CtlCommands();

enum class ctl_action : std::uint8_t { kRun, kHelp, kVersion };

// A parsed command line.
struct ctl_invocation {
  ctl_action action = ctl_action::kRun;
  const ctl_command_info* command = nullptr;  // Null unless kRun.
  ctl_arguments arguments;
  output_format output = output_format::kText;
  std::string config_file;  // Empty without --config.
  connection_options flags;
};

// Reason why a command line is invalid.
struct usage_error {
  std::string reason;
};

// Parses the arguments of `main`; the first one is the program's name.
result<ctl_invocation, usage_error> ParseCtlCommandLine(
    std::span<const char* const> arguments);

// Returns the text of --help.
std::string CtlHelp();

}  // namespace hornbeam
