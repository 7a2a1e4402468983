#include "ctl/settings_client.h"

#include <fmt/format.h>

#include "base/store_client.h"
#include "ctl/store_failure.h"
#include "settings/settings_codec.h"

namespace hornbeam {

namespace {

struct report_of_reply {
  const change_command& change;

  result<accepted_reply, command_report> operator()(
      const accepted_reply& reply) const {
    return reply;
  }

  result<accepted_reply, command_report> operator()(
      const conflict_reply& reply) const {
    return MakeFailure(
        exit_code::kConflict,
        fmt::format("another change was accepted first: {} at revision {} "
                    "(change {}); this change was rejected",
                    reply.winner.path, reply.winner.revision,
                    reply.winner.change_id.ToString()),
        fmt::format("read that change with 'hornbeamctl settings get {}', then "
                    "repeat this one with --revision {}",
                    reply.winner.path, reply.current_revision));
  }

  result<accepted_reply, command_report> operator()(
      const not_permitted_reply& reply) const {
    return MakeFailure(
        exit_code::kNotPermitted, "not permitted: " + reply.reason,
        fmt::format("pass the team that owns '{}' and its token (--team, "
                    "HORNBEAMCTL_TOKEN)",
                    change.path));
  }

  result<accepted_reply, command_report> operator()(
      const invalid_reply& reply) const {
    return ReportDocumentErrors(reply.errors);
  }
};

}  // namespace

settings_client::settings_client(ctl_context& context) : context_(context) {}

result<document_list, command_report> settings_client::Query(
    const settings_query& query) {
  const auto reply = context_.stores.Query(
      store_id::kSettings, EncodeSettingsQuery(query), context_.Deadline());
  if (!reply) return ReportStoreError(reply.error(), context_.connection);
  auto list = DecodeDocumentList(reply.value());
  if (!list) return ReportUndecodableReply();
  return *std::move(list);
}

result<accepted_reply, command_report> settings_client::Change(
    change_command change) {
  change.team = TeamOf(change.path);
  change.token = context_.connection.token;
  const std::string bytes = EncodeSettingsCommand(change);
  auto reply =
      context_.stores.Propose(store_id::kSettings, bytes, context_.Deadline());
  if (!reply && reply.error() == store_error::kTimeout) {
    reply = context_.stores.Propose(store_id::kSettings, bytes,
                                    context_.Deadline());
  }
  if (!reply) {
    command_report report =
        ReportStoreError(reply.error(), context_.connection);
    if (report.code == exit_code::kUnknown) {
      report.next_step = fmt::format(
          "repeat the command with --change-id {} --revision {}: it then "
          "takes effect at most once",
          change.change_id.ToString(), change.expected_revision);
    }
    return report;
  }
  const auto decoded = DecodeSettingsReply(reply.value());
  if (!decoded) return ReportUndecodableReply();
  return std::visit(report_of_reply{change}, *decoded);
}

std::string settings_client::TeamOf(const std::string& path) const {
  if (!context_.connection.team.empty()) return context_.connection.team;
  return path.substr(0, path.find('/'));
}

}  // namespace hornbeam
