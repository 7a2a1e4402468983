#include "ctl/settings_get_command.h"

#include <fmt/format.h>

#include "ctl/settings_client.h"

namespace hornbeam {

command_report settings_get_command::Run(const ctl_arguments& arguments) {
  const std::string& path = arguments.operands.at(0);
  const auto found = settings_client(context_).Query(get_document_query{path});
  if (!found) return found.error();
  if (found.value().documents.empty()) {
    return MakeFailure(exit_code::kInvalidInput,
                       fmt::format("there is no document at '{}'", path),
                       "list all documents with 'hornbeamctl settings list'");
  }
  command_report report;
  report.document = found.value().documents.front().document;
  return report;
}

}  // namespace hornbeam
