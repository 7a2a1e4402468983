// Placement of one service's calls in fleets of growing size, on a simulated
// clock: share answered in time, rejections and the age of the reports, beside
// an oracle that sees all upstreams.
#include <fmt/format.h>

#include <algorithm>
#include <iostream>

#include "support/fleet_replay.h"

namespace hornbeam {

namespace {

void PrintRow(const char* name, const fleet_replay_options& options) {
  const fleet_replay_result row = ReplayFleet(options);
  const auto calls = static_cast<double>(row.calls);
  const auto share = [calls](std::size_t count) {
    return static_cast<double>(count) / calls;
  };
  std::cout << fmt::format(
      "{:8} {:5} {:5} {:5.2f} {:8} {:7.3f} {:7.3f} {:7.3f} {:7.3f} {:6.3f} "
      "{:7.3f} {:6} {:6} {:7.0f} {:6.3f} {:7.0f}\n",
      name, options.nodes, options.upstreams, options.load, row.calls,
      row.InTimeShare(), share(row.rejected), share(row.rejected_with_room),
      share(row.first_rejected), share(row.dispatches), share(row.other_zone),
      row.idle_upstreams, row.idle_joined, row.report_age_ms, row.fresh_share,
      row.mean_ms);
}

void RunTrials() {
  std::cout << fmt::format(
      "{:8} {:>5} {:>5} {:>5} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>7} {:>6} "
      "{:>6} {:>7} {:>6} {:>7}\n",
      "placing", "nodes", "upstr", "load", "calls", "in time", "reject",
      "w.room", "1st rej", "disp", "zone+", "idle", "idle j", "age ms", "fresh",
      "mean ms");
  for (const std::size_t nodes : {10U, 30U, 200U}) {
    const std::size_t upstreams = std::max<std::size_t>(nodes * 3 / 10, 3);
    for (const double load : {0.3, 0.6, 0.9, 1.2}) {
      fleet_replay_options options{
          .nodes = nodes,
          .upstreams = upstreams,
          .load = load,
          .slowdowns = true,
          .cold_upstreams = std::max<std::size_t>(upstreams / 10, 1)};
      PrintRow("product", options);
      options.oracle = true;
      PrintRow("oracle", options);
    }
  }
}

}  // namespace

}  // namespace hornbeam

int main() {
  hornbeam::RunTrials();
  return 0;
}
