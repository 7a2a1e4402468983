#include "ctl/status_command.h"

#include <fmt/format.h>

#include "ctl/status_source.h"
#include "ctl/store_failure.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;

std::string_view NameOf(store_id store) {
  return store == store_id::kSettings ? "settings" : "ledger";
}

report_row RowOf(const node_summary& node) {
  return {{{"node", node.lease.node},
           {"availability_zone", node.lease.availability_zone},
           {"service", node.lease.service},
           {"slots", std::uint64_t{node.lease.slots}},
           {"draining", node.lease.draining},
           {"settings_revision", node.settings_revision},
           {"age_ms", node.age_us / kMicrosecondsPerMillisecond}}};
}

std::string DescribeStore(const store_summary& store) {
  return fmt::format("{}: {}, leader {}, term {}, commit index {}",
                     NameOf(store.store), store.role,
                     store.leader.empty() ? "unknown" : store.leader,
                     store.term, store.commit_index);
}

std::string Describe(const status_reply& status) {
  std::string out = fmt::format(
      "status from {}: settings revision {}, {} node(s)", status.control,
      status.settings_revision, status.nodes.size());
  for (const store_summary& store : status.stores) {
    out += '\n' + DescribeStore(store);
  }
  return out;
}

}  // namespace

command_report status_command::Run(const ctl_arguments& /*arguments*/) {
  const auto status = context_.status.Status(context_.Deadline());
  if (!status) return ReportStoreError(status.error(), context_.connection);
  command_report report;
  report.message = Describe(status.value());
  for (const node_summary& node : status.value().nodes) {
    report.rows.push_back(RowOf(node));
  }
  return report;
}

}  // namespace hornbeam
