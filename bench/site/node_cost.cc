#include "site/node_cost.h"

#include <fmt/format.h>

#include <array>
#include <numeric>
#include <thread>

#include "support/load_run.h"
#include "support/process_usage.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr double kPercent = 100;
constexpr double kMebibyte = 1024 * 1024;
constexpr milliseconds kAddedTimeRun{4000};
constexpr std::size_t kFewConnections = 60;

load_plan MakeShortPlan(const deployment& measured,
                        std::vector<std::string> targets, double rate) {
  load_plan plan;
  plan.nodes = std::move(targets);
  plan.services = {measured.measured_service};
  plan.rate = rate;
  plan.duration = kAddedTimeRun;
  plan.history_share = 0;
  plan.filing_share = 0;
  plan.connections_per_node = kFewConnections;
  return plan;
}

void SetAllShortTimes(site& running, const deployment& measured,
                      double short_ms) {
  for (std::size_t index = 0; index < measured.measured_upstreams; ++index) {
    running.SetBehaviour(measured.first_measured + index,
                         fmt::format(R"({{"short_ms":{}}})", short_ms));
  }
}

added_time_row MeasureOneRate(site& running, const deployment& measured,
                              const std::string& name, double rate) {
  const std::size_t first = measured.first_measured;
  const std::string& ingress = running.Nodes()[first == 0 ? 3 : 0].callers;
  const std::string& standin = running.Upstreams()[first].callers;
  const auto routed = RunLoad(MakeShortPlan(measured, {ingress}, rate));
  const auto direct = RunLoad(MakeShortPlan(measured, {standin}, rate));
  const load_summary through_nodes = Summarise(*routed);
  const load_summary without_nodes = Summarise(*direct);
  return added_time_row{
      .name = name,
      .rate = rate,
      .p50_ms = through_nodes.p50_ms - without_nodes.p50_ms,
      .p99_ms = through_nodes.p99_ms - without_nodes.p99_ms,
      .direct_p50_ms = without_nodes.p50_ms,
      .direct_p99_ms = without_nodes.p99_ms,
      .unanswered = through_nodes.sent - through_nodes.answered};
}

struct group_usage {
  std::chrono::microseconds cpu{0};
  std::uint64_t resident = 0;
};

group_usage UsageOf(const std::vector<site_process>& group) {
  group_usage sum;
  for (const site_process& each : group) {
    const process_usage usage = ReadProcessUsage(each.process->Pid());
    sum.cpu += usage.cpu;
    sum.resident += usage.resident_bytes;
  }
  return sum;
}

std::uint64_t ControlBytes(site& running) {
  std::uint64_t bytes = 0;
  for (std::size_t vm = 0; vm < running.ControlVms().size(); ++vm) {
    bytes += running.ControlRelay(vm).BytesForwarded();
  }
  return bytes;
}

usage_row MakeRow(const std::string& name, const group_usage& before,
                  const group_usage& after, std::size_t processes,
                  double seconds) {
  const auto count = static_cast<double>(processes);
  const double cpu_seconds =
      std::chrono::duration<double>(after.cpu - before.cpu).count();
  return usage_row{.name = name,
                   .cpu_percent = kPercent * cpu_seconds / seconds / count,
                   .resident_mebibytes =
                       static_cast<double>(after.resident) / kMebibyte / count};
}

}  // namespace

std::vector<added_time_row> MeasureAddedTime(site& running,
                                             const deployment& measured) {
  struct rate_step {
    std::string_view name;
    double rate;
  };
  constexpr std::array kSteps = {rate_step{"45 calls/s", 45},
                                 rate_step{"1000 calls/s", 1000},
                                 rate_step{"4000 calls/s", 4000}};
  SetAllShortTimes(running, measured, 0);
  std::vector<added_time_row> rows;
  rows.reserve(kSteps.size());
  for (const rate_step& step : kSteps) {
    rows.push_back(
        MeasureOneRate(running, measured, std::string(step.name), step.rate));
  }
  SetAllShortTimes(running, measured, measured.short_ms);
  return rows;
}

std::vector<usage_row> MeasureUsage(site& running, const deployment& measured,
                                    double rate, milliseconds duration) {
  const auto start = std::chrono::steady_clock::now();
  const group_usage nodes_before = UsageOf(running.Nodes());
  const group_usage control_before = UsageOf(running.ControlVms());
  const std::uint64_t bytes_before = ControlBytes(running);
  if (rate > 0) {
    load_plan plan = MakeShortPlan(measured, running.NodeAddresses(), rate);
    plan.duration = duration;
    RunLoad(plan);
  } else {
    std::this_thread::sleep_for(duration);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  const std::string load =
      rate > 0 ? fmt::format("{:.0f} calls/s a node",
                             rate / static_cast<double>(running.Nodes().size()))
               : "idle";
  usage_row node =
      MakeRow("node, " + load, nodes_before, UsageOf(running.Nodes()),
              running.Nodes().size(), seconds);
  node.control_bytes_per_s =
      static_cast<double>(ControlBytes(running) - bytes_before) / seconds /
      static_cast<double>(running.Nodes().size());
  return {node, MakeRow("control VM, " + load, control_before,
                        UsageOf(running.ControlVms()),
                        running.ControlVms().size(), seconds)};
}

}  // namespace hornbeam
