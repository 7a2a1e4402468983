#include "ctl/settings_list_command.h"

#include "ctl/change_rows.h"
#include "ctl/settings_client.h"

namespace hornbeam {

command_report settings_list_command::Run(const ctl_arguments& arguments) {
  const std::string prefix = arguments.operands.empty()
                                 ? context_.connection.team
                                 : arguments.operands.front();
  const auto found =
      settings_client(context_).Query(list_documents_query{prefix});
  if (!found) return found.error();
  command_report report;
  report.rows = MakeChangeRows(found.value().documents);
  if (report.rows.empty()) report.message = "no documents";
  return report;
}

}  // namespace hornbeam
