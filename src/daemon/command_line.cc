#include "daemon/command_line.h"

#include <boost/program_options.hpp>
#include <sstream>

namespace hornbeam {

namespace {

namespace options = boost::program_options;

options::options_description MakeDescription() {
  options::options_description description("Options");
  auto add = description.add_options();
  add("config", options::value<std::string>()->value_name("FILE"),
      "settings file of this daemon");
  add("check", "check the settings file, print all its errors and exit");
  add("version", "print the version and exit");
  add("help", "print this text and exit");
  return description;
}

daemon_action ActionOf(const options::variables_map& given) {
  if (given.contains("help")) return daemon_action::kHelp;
  if (given.contains("version")) return daemon_action::kVersion;
  if (given.contains("check")) return daemon_action::kCheck;
  return daemon_action::kRun;
}

bool NeedsFile(daemon_action action) {
  return action == daemon_action::kRun || action == daemon_action::kCheck;
}

}  // namespace

result<daemon_command, command_line_error> ParseDaemonCommandLine(
    std::span<const char* const> arguments) {
  try {
    const auto description = MakeDescription();
    options::variables_map given;
    options::store(options::command_line_parser(
                       static_cast<int>(arguments.size()), arguments.data())
                       .options(description)
                       .positional({})
                       .run(),
                   given);
    daemon_command command{.action = ActionOf(given), .config_file = {}};
    if (given.contains("config")) {
      command.config_file = given["config"].as<std::string>();
    }
    if (NeedsFile(command.action) && command.config_file.empty()) {
      return command_line_error{
          "no settings file: pass --config FILE (see docs/SETTINGS.md)"};
    }
    return command;
  } catch (const options::error& error) {
    return command_line_error{error.what()};
  }
}

std::string DaemonHelp() {
  std::ostringstream out;
  out << "hornbeamd --config FILE [--check]\n\n"
      << MakeDescription()
      << "\nSignals: TERM or INT drains and exits, a second one exits without "
         "further\nwaiting, HUP is ignored.\n"
         "Exit codes: 0 stopped as requested, 1 errors in the settings file, "
         "2 usage error,\n3 an address is in use, 4 calls in flight were "
         "aborted, 5 the storage cannot\nbe used.\n";
  return out.str();
}

std::string DaemonVersion() { return "hornbeamd " HORNBEAM_VERSION "\n"; }

}  // namespace hornbeam
