#include "ctl/operations_command.h"

#include <fmt/format.h>

#include "base/store_client.h"
#include "ctl/change_rows.h"
#include "ctl/store_failure.h"
#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr std::uint32_t kPageSize = 500;
// A younger operation is most likely still running.
constexpr std::chrono::milliseconds kDefaultMinAge(60'000);

std::string_view NameOf(const std::optional<unknown_reason>& reason) {
  if (!reason) return "claimed, no outcome yet";
  switch (*reason) {
    case unknown_reason::kNodeRestarted:
      return "serving node restarted or gone";
    case unknown_reason::kUpstreamLost:
      return "upstream connection broke";
    case unknown_reason::kRecordEvicted:
      return "serving node no longer remembers";
  }
  return "";
}

report_row RowOf(const unresolved_operation& operation) {
  return {{{"service", operation.operation.service},
           {"key", operation.operation.key.ToString()},
           {"attempt", std::uint64_t{operation.attempt}},
           {"node", operation.target.name},
           {"ingress", operation.ingress},
           {"claimed_at", FormatUtc(operation.claimed_at_us)},
           {"reason", std::string(NameOf(operation.reason))}}};
}

// Parses "SERVICE/KEY", where the key may contain the dashes of a UUID. Returns
// std::nullopt for other text.
std::optional<operation_key> ParseOperation(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  std::string digits(text.substr(slash + 1));
  std::erase(digits, '-');
  const auto key = request_id::Parse(digits);
  if (!key) return std::nullopt;
  return operation_key{std::string(text.substr(0, slash)), *key};
}

// Typed access to the ledger for this command. Turns every failure into the
// report for the operator.
class operations_client {
 public:
  explicit operations_client(ctl_context& context) : context_(context) {}

  result<unresolved_page, command_report> ReadPage(
      const list_unresolved_query& query) {
    const auto reply = context_.stores.Query(
        store_id::kLedger, EncodeLedgerQuery(query), context_.Deadline());
    if (!reply) return ReportStoreError(reply.error(), context_.connection);
    auto page = DecodeUnresolvedPage(reply.value());
    if (!page) return ReportUndecodableReply();
    return *std::move(page);
  }

  result<ledger_reply, command_report> Acknowledge(
      const acknowledge_command& command) {
    const auto reply = context_.stores.Propose(
        store_id::kLedger, EncodeLedgerCommand(command), context_.Deadline());
    if (!reply) return ReportStoreError(reply.error(), context_.connection);
    auto decoded = DecodeLedgerReply(reply.value());
    if (!decoded) return ReportUndecodableReply();
    return *std::move(decoded);
  }

 private:
  ctl_context& context_;
};

command_report ListUnresolved(operations_client client,
                              const ctl_arguments& arguments) {
  list_unresolved_query query;
  query.limit = kPageSize;
  query.min_age_ms = static_cast<std::uint32_t>(
      arguments.min_age.value_or(kDefaultMinAge).count());
  command_report report;
  bool more = true;
  while (more) {
    const auto page = client.ReadPage(query);
    if (!page) return page.error();
    for (const auto& operation : page.value().operations) {
      report.rows.push_back(RowOf(operation));
      query.after = operation.operation;
    }
    more = page.value().more && !page.value().operations.empty();
  }
  report.message =
      fmt::format("{} unresolved operation(s)", report.rows.size());
  return report;
}

command_report AcknowledgeOperation(operations_client client,
                                    const ctl_arguments& arguments) {
  const auto operation = ParseOperation(arguments.acknowledge);
  if (!operation) {
    return MakeFailure(exit_code::kInvalidInput,
                       fmt::format("'{}' is not of the form SERVICE/KEY",
                                   arguments.acknowledge),
                       "copy both from 'hornbeamctl operations --unresolved'");
  }
  const auto reply = client.Acknowledge({*operation, arguments.note});
  if (!reply) return reply.error();
  if (!std::holds_alternative<recorded_reply>(reply.value())) {
    return MakeFailure(exit_code::kInvalidInput,
                       "the ledger has no such unresolved operation",
                       "list them with 'hornbeamctl operations --unresolved'");
  }
  command_report report;
  report.message = "acknowledged; the key stays rejected";
  return report;
}

}  // namespace

command_report operations_command::Run(const ctl_arguments& arguments) {
  if (!arguments.acknowledge.empty()) {
    return AcknowledgeOperation(operations_client(context_), arguments);
  }
  if (!arguments.unresolved) {
    return MakeFailure(exit_code::kUsage, "nothing to do",
                       "pass --unresolved or --acknowledge SERVICE/KEY");
  }
  return ListUnresolved(operations_client(context_), arguments);
}

}  // namespace hornbeam
