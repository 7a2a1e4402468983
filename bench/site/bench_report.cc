#include "site/bench_report.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace hornbeam {

namespace {

namespace json = boost::json;

std::string FormatScenario(const scenario_row& row) {
  return fmt::format(
      "{:<22} {:<18} {:>4} {:>6} {:>6} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} "
      "{:>7} {:>7} {:>5} {:>7} {:>8.0f}\n",
      row.scenario, row.picker, row.seed,
      row.short_calls.sent + row.long_calls.sent, row.short_calls.answered,
      row.short_calls.p50_ms, row.short_calls.p99_ms, row.short_calls.p999_ms,
      row.long_calls.p99_ms, row.short_calls.not_run + row.long_calls.not_run,
      row.unknown, row.lost,
      row.overload_goodput > 0 ? fmt::format("{:.3f}", row.overload_goodput)
                               : "-",
      row.node_cpu_us_per_call);
}

json::object ToJson(const scenario_row& row) {
  return {{"scenario", row.scenario},
          {"picker", row.picker},
          {"seed", row.seed},
          {"short_sent", row.short_calls.sent},
          {"short_answered", row.short_calls.answered},
          {"short_p50_ms", row.short_calls.p50_ms},
          {"short_p99_ms", row.short_calls.p99_ms},
          {"short_p999_ms", row.short_calls.p999_ms},
          {"long_sent", row.long_calls.sent},
          {"long_p99_ms", row.long_calls.p99_ms},
          {"refused", row.short_calls.not_run + row.long_calls.not_run},
          {"unknown", row.unknown},
          {"lost", row.lost},
          {"crest_goodput", row.overload_goodput},
          {"node_cpu_us_per_call", row.node_cpu_us_per_call}};
}

json::object ToJson(const added_time_row& row) {
  return {{"name", row.name},
          {"rate", row.rate},
          {"added_p50_ms", row.p50_ms},
          {"added_p99_ms", row.p99_ms},
          {"direct_p50_ms", row.direct_p50_ms},
          {"direct_p99_ms", row.direct_p99_ms},
          {"unanswered", row.unanswered}};
}

json::object ToJson(const usage_row& row) {
  return {{"name", row.name},
          {"cpu_percent", row.cpu_percent},
          {"resident_mebibytes", row.resident_mebibytes},
          {"control_bytes_per_s", row.control_bytes_per_s}};
}

template <class Row>
json::array ToArray(const std::vector<Row>& rows) {
  json::array array;
  for (const Row& row : rows) array.push_back(ToJson(row));
  return array;
}

}  // namespace

std::string FormatBenchText(const bench_report& report) {
  std::string text = fmt::format("deployment {}\n\n", report.deployment);
  if (!report.scenarios.empty()) {
    text += fmt::format(
        "{:<22} {:<18} {:>4} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} "
        "{:>5} {:>7} {:>8}\n",
        "scenario", "picker", "seed", "sent", "short", "p50 ms", "p99 ms",
        "p99.9", "long p99", "refused", "unknown", "lost", "crest", "cpu us");
  }
  for (const scenario_row& row : report.scenarios) text += FormatScenario(row);
  if (!report.added_times.empty()) {
    text += fmt::format("\n{:<26} {:>14} {:>14} {:>14} {:>14} {:>10}\n",
                        "added to a call", "added p50 ms", "added p99 ms",
                        "direct p50 ms", "direct p99 ms", "unanswered");
  }
  for (const added_time_row& row : report.added_times) {
    text +=
        fmt::format("{:<26} {:>14.3f} {:>14.3f} {:>14.3f} {:>14.3f} {:>10}\n",
                    row.name, row.p50_ms, row.p99_ms, row.direct_p50_ms,
                    row.direct_p99_ms, row.unanswered);
  }
  if (!report.usages.empty()) {
    text += fmt::format("\n{:<34} {:>10} {:>8} {:>18}\n", "use of a process",
                        "cpu %", "MiB", "control bytes/s");
  }
  for (const usage_row& row : report.usages) {
    text += fmt::format("{:<34} {:>10.2f} {:>8.1f} {:>18.0f}\n", row.name,
                        row.cpu_percent, row.resident_mebibytes,
                        row.control_bytes_per_s);
  }
  return text;
}

std::string FormatBenchJson(const bench_report& report) {
  const json::object body = {{"deployment", report.deployment},
                             {"scenarios", ToArray(report.scenarios)},
                             {"added_times", ToArray(report.added_times)},
                             {"usages", ToArray(report.usages)}};
  return json::serialize(body) + "\n";
}

}  // namespace hornbeam
