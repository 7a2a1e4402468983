// What is done to a site while it is measured, and what came of it.
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

// How calls are spread; the first is the product's own way, the others are
// baselines.
inline constexpr std::array<std::string_view, 5> kPickers = {
    "expected_wait", "random", "round_robin", "least_outstanding",
    "two_choices"};

// One condition under which the site is measured.
struct scenario {
  std::string name;
  std::string faulty;  // Behaviour of the measured service's first upstream;
                       // empty: like the others.
  double utilisation = 0.6;  // Of the slots, at the mean rate.
  double long_share = 0.03;
  double peak_factor = 1;
  std::chrono::milliseconds deadline{0};
  bool with_baselines = false;
};

// All scenarios, in the order in which they run.
const std::vector<scenario>& Scenarios();

// One measured run.
struct scenario_row {
  std::string scenario;
  std::string picker;
  std::uint64_t seed = 0;
  load_summary short_calls;
  load_summary long_calls;
  std::size_t unknown = 0;   // Calls whose deadline passed while they ran.
  std::size_t lost = 0;      // Calls that failed or got a wrong answer.
  double crest_goodput = 0;  // Share of what the slots can do; 0: no swing.
  double node_cpu_us_per_call = 0;
};

struct scenario_run {
  std::string_view picker;
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{2500};
};

// Measures `what` on a site that serves. Throws nothing; a row with nothing
// sent means that the settings were not accepted.
scenario_row RunScenario(site& running, const deployment& measured,
                         const scenario& what, const scenario_run& run);

}  // namespace hornbeam
