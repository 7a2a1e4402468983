#include "ctl/drain_command.h"

#include <fmt/format.h>

#include <algorithm>

#include "ctl/name_list_key.h"
#include "ctl/settings_change.h"
#include "ctl/settings_client.h"
#include "ctl/status_source.h"
#include "ctl/store_failure.h"

namespace hornbeam {

namespace {

constexpr name_list_key kDrainedNodes{"service", "drained_nodes"};

command_report ReportNoNode(const std::string& node) {
  return MakeFailure(
      exit_code::kInvalidInput,
      fmt::format("there is no known node '{}' with an upstream", node),
      "list the nodes with 'hornbeamctl status'");
}

command_report ReportNoTeam() {
  return MakeFailure(exit_code::kNotPermitted,
                     "no team given: the service's settings belong to a team",
                     "pass --team or set HORNBEAMCTL_TEAM");
}

}  // namespace

command_report drain_command::Run(const ctl_arguments& arguments) {
  const std::string& node = arguments.operands.at(0);
  if (context_.connection.team.empty()) return ReportNoTeam();
  const auto status = context_.status.Status(context_.Deadline());
  if (!status) return ReportStoreError(status.error(), context_.connection);
  const auto& nodes = status.value().nodes;
  const auto found =
      std::ranges::find_if(nodes, [&](const node_summary& summary) {
        return summary.lease.node == node && !summary.lease.service.empty();
      });
  if (found == nodes.end()) return ReportNoNode(node);

  const std::string path = fmt::format(
      "{}/services/{}", context_.connection.team, found->lease.service);
  const auto current =
      settings_client(context_).Query(get_document_query{path});
  if (!current) return current.error();
  const auto& documents = current.value().documents;
  const std::string text =
      documents.empty() ? "" : documents.front().document.value_or("");
  // Expects the revision at which the document was read: if another change was
  // accepted in between, this one is rejected with a conflict.
  ctl_arguments change = arguments;
  change.revision = current.value().team_revision;
  return ChangeDocument(context_, path,
                        arguments.undo
                            ? RemoveNameFromList(text, kDrainedNodes, node)
                            : AddNameToList(text, kDrainedNodes, node),
                        change);
}

}  // namespace hornbeam
