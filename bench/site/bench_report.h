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

std::string FormatBenchText(const bench_report& report);
std::string FormatBenchJson(const bench_report& report);

}  // namespace hornbeam
