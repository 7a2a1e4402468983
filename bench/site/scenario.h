// Scenarios of load and faults that are measured on a site, and their results.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "site/deployment.h"
#include "support/load_plan.h"

namespace hornbeam {

// Values of the setting `picker` that are compared. The first is the default
// policy; the others are baselines.
inline constexpr std::array<std::string_view, 5> kPickers = {
    "expected_wait", "random", "round_robin", "least_outstanding",
    "two_choices"};

// Load and fault of one measurement, which lasts scenario_run::duration.
struct scenario {
  std::string name;
  std::string faulty;  // Behaviour of the measured service's first upstream, or
                       // empty for the same behaviour as the others.
  double utilisation = 0.6;  // Share of the slots in use at the mean rate.
  double long_share = 0.03;
  double peak_factor = 1;
  std::chrono::milliseconds deadline{0};
  bool with_baselines = false;
};

// Returns all scenarios in the order in which they run.
const std::vector<scenario>& Scenarios();

// Results of one run.
struct scenario_row {
  std::string scenario;
  std::string picker;
  std::uint64_t seed = 0;
  load_summary short_calls;
  load_summary long_calls;
  std::size_t unknown = 0;  // Calls whose deadline passed while they ran.
  std::size_t lost = 0;     // Calls that failed or got a wrong answer.
  // Answers during load peaks as a share of the slot capacity; 0 without peaks.
  double overload_goodput = 0;
  double node_cpu_us_per_call = 0;
};

// Parameters of one run.
struct scenario_run {
  std::string_view picker;
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{2500};
};

// Runs a scenario on a started site. Does not throw; a row without sent calls
// means that the settings were not accepted.
scenario_row RunScenario(site& running, const deployment& measured,
                         const scenario& spec, const scenario_run& run);

}  // namespace hornbeam
