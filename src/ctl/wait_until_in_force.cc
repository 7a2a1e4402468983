#include "ctl/wait_until_in_force.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "ctl/status_source.h"

namespace hornbeam {

namespace {

constexpr std::chrono::milliseconds kPollInterval(200);

std::vector<report_row> LaggingRows(const status_reply& status,
                                    std::uint64_t store_revision) {
  std::vector<report_row> rows;
  for (const node_summary& node : status.nodes) {
    if (node.settings_revision >= store_revision) continue;
    rows.push_back({{{"node", node.lease.node},
                     {"revision", node.settings_revision},
                     {"age_ms", node.age_us / 1000}}});
  }
  return rows;
}

command_report ReportLagging(const accepted_reply& accepted,
                             std::vector<report_row> lagging) {
  command_report report = MakeFailure(
      exit_code::kNotYetInForce,
      fmt::format("accepted as revision {} and stored, but not yet in force "
                  "on {} node(s)",
                  accepted.revision, lagging.size()),
      "check again with 'hornbeamctl status'; a node that is disconnected "
      "continues with its last settings and catches up by itself");
  report.rows = std::move(lagging);
  return report;
}

command_report ReportUnknownRevisions(const accepted_reply& accepted) {
  return MakeFailure(
      exit_code::kNotYetInForce,
      fmt::format("accepted as revision {} and stored, but the revisions of "
                  "the nodes could not be read",
                  accepted.revision),
      "check again with 'hornbeamctl status'");
}

command_report ReportAccepted(const accepted_reply& accepted,
                              std::string_view suffix) {
  command_report report;
  report.message =
      fmt::format("accepted as revision {}{}", accepted.revision, suffix);
  report.rows.push_back({{{"revision", accepted.revision},
                          {"store_revision", accepted.store_revision}}});
  return report;
}

}  // namespace

command_report WaitUntilInForce(ctl_context& context,
                                const accepted_reply& accepted,
                                std::chrono::milliseconds wait) {
  if (wait.count() == 0) return ReportAccepted(accepted, "");
  const time_point deadline = context.clock.Now() + wait;
  while (true) {
    const auto status = context.status.Status(context.Deadline());
    auto lagging = status ? LaggingRows(status.value(), accepted.store_revision)
                          : std::vector<report_row>{};
    if (status && lagging.empty()) {
      return ReportAccepted(accepted, ", in force on every node");
    }
    if (context.clock.Now() >= deadline) {
      return status ? ReportLagging(accepted, std::move(lagging))
                    : ReportUnknownRevisions(accepted);
    }
    context.pause(kPollInterval);
  }
}

}  // namespace hornbeam
