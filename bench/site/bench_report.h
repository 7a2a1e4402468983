// Report of a benchmark run, as text or JSON.
#pragma once

#include <string>
#include <vector>

#include "site/node_cost.h"
#include "site/scenario.h"

namespace hornbeam {

struct bench_report {
  std::string deployment;
  std::vector<scenario_row> scenarios;
  std::vector<added_time_row> added_times;
  std::vector<usage_row> usages;
};

// Returns the report as text tables; an empty list has no table.
std::string FormatBenchText(const bench_report& report);
// Returns the report as one JSON object with a newline behind it.
std::string FormatBenchJson(const bench_report& report);

}  // namespace hornbeam
