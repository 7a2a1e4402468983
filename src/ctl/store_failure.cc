#include "ctl/store_failure.h"

#include <fmt/format.h>

#include "settings/settings_messages.h"

namespace hornbeam {

namespace {

std::string AddressesOf(const ctl_connection& connection) {
  std::string out;
  for (const endpoint& address : connection.control) {
    if (!out.empty()) out += ", ";
    out += address.ToString();
  }
  return out;
}

}  // namespace

command_report ReportStoreError(store_error error,
                                const ctl_connection& connection) {
  switch (error) {
    case store_error::kUnreachable:
      return MakeFailure(exit_code::kUnreachable,
                         fmt::format("cannot reach any control VM ({}); "
                                     "nothing changed",
                                     AddressesOf(connection)),
                         "check that hornbeamd is running on them, or pass the "
                         "right addresses with --control");
    case store_error::kNoQuorum:
      return MakeFailure(exit_code::kUnreachable,
                         "the control VMs have no quorum; nothing changed",
                         "restore a majority of the control VMs "
                         "(docs/OPERATIONS.md, 'No quorum')");
    case store_error::kTimeout:
      return MakeFailure(exit_code::kUnknown, "no reply in time",
                         "repeat the command, with a longer --timeout-ms if "
                         "necessary");
    case store_error::kRejected:
      return MakeFailure(exit_code::kInvalidInput,
                         "the control VM could not decode the request; nothing "
                         "changed",
                         "use a hornbeamctl of the same version as the "
                         "control VMs");
  }
  return ReportUndecodableReply();
}

command_report ReportUndecodableReply() {
  return MakeFailure(
      exit_code::kUnknown, "cannot decode the reply of the control VM",
      "use a hornbeamctl of the same version as the control VMs");
}

command_report ReportDocumentErrors(std::span<const settings_error> errors) {
  command_report report = MakeFailure(
      exit_code::kInvalidInput, "the document has errors; nothing changed",
      "correct the lines above; docs/SETTINGS.md lists all keys");
  for (const settings_error& error : errors) {
    report.rows.push_back({{{"path", error.path},
                            {"line", std::uint64_t{error.line}},
                            {"key", error.key},
                            {"reason", error.reason},
                            {"accepted", error.accepted}}});
  }
  return report;
}

}  // namespace hornbeam
