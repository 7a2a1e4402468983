#include "ctl/ctl_main.h"

#include <filesystem>
#include <ostream>

#include "ctl/ctl_command_line.h"
#include "ctl/report_format.h"

namespace hornbeam {

namespace {

constexpr std::string_view kDefaultFile = ".hornbeamctl.ini";

// Reads the file of --config, which must exist, or else the default file, which
// is optional.
result<connection_options, connection_error> ReadFile(
    const ctl_invocation& invocation, const environment_lookup& lookup) {
  if (!invocation.config_file.empty()) {
    return ReadConnectionFile(invocation.config_file);
  }
  const auto home_directory = lookup("HOME");
  if (!home_directory) return connection_options{};
  const auto path = std::filesystem::path(*home_directory) / kDefaultFile;
  std::error_code unreadable;
  if (!std::filesystem::exists(path, unreadable)) return connection_options{};
  return ReadConnectionFile(path);
}

result<ctl_connection, connection_error> Connect(
    const ctl_invocation& invocation, const environment_lookup& lookup) {
  const auto file = ReadFile(invocation, lookup);
  if (!file) return file.error();
  return ResolveConnection(invocation.flags, ReadEnvironment(lookup),
                           file.value());
}

exit_code Print(const command_report& report, output_format format,
                ctl_streams streams) {
  streams.output << FormatOutput(report, format) << std::flush;
  streams.diagnostics << FormatDiagnostic(report, format);
  return report.code;
}

}  // namespace

exit_code RunCtl(std::span<const char* const> arguments,
                 const environment_lookup& lookup,
                 const session_factory& make_session, ctl_streams streams) {
  const auto parsed = ParseCtlCommandLine(arguments);
  if (!parsed) {
    streams.diagnostics << "hornbeamctl: " << parsed.error().reason
                        << "\nnext: see hornbeamctl --help\n";
    return exit_code::kUsage;
  }
  const ctl_invocation& invocation = parsed.value();
  if (invocation.action == ctl_action::kHelp) {
    streams.output << CtlHelp();
    return exit_code::kOk;
  }
  if (invocation.action == ctl_action::kVersion) {
    streams.output << "hornbeamctl " HORNBEAM_VERSION "\n";
    return exit_code::kOk;
  }
  const auto connection = Connect(invocation, lookup);
  if (!connection) {
    return Print(
        MakeFailure(exit_code::kUsage, connection.error().reason,
                    "correct the connection settings (docs/OPERATIONS.md)"),
        invocation.output, streams);
  }
  const auto session = make_session(connection.value());
  const auto command = invocation.command->make(session->Context());
  return Print(command->Run(invocation.arguments), invocation.output, streams);
}

}  // namespace hornbeam
