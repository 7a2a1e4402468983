#include "site/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

#include "support/load_run.h"
#include "support/process_usage.h"

namespace hornbeam {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kPeakPeriod{2500};
constexpr milliseconds kPeakLength{1000};
constexpr milliseconds kPeakRamp{100};

std::chrono::microseconds CpuOfNodes(site& running) {
  return std::accumulate(
      running.Nodes().begin(), running.Nodes().end(), microseconds(0),
      [](microseconds sum, const site_process& node) {
        return sum + ReadProcessUsage(node.process->Pid()).cpu;
      });
}

load_plan MakePlan(const site& running, const deployment& measured,
                   const scenario& spec, const scenario_run& run) {
  load_plan plan;
  plan.nodes = running.NodeAddresses();
  plan.services = {measured.measured_service};
  plan.rate = spec.utilisation * SlotCapacity(measured, spec.long_share);
  plan.duration = run.duration;
  plan.history_share = spec.long_share;
  plan.filing_share = 0;
  plan.peak_factor = spec.peak_factor;
  plan.peak_period = kPeakPeriod;
  plan.peak_length = kPeakLength;
  plan.peak_ramp = kPeakRamp;
  plan.deadline = spec.deadline;
  plan.connections_per_node = measured.connections_per_node;
  plan.seed = run.seed;
  return plan;
}

// Returns the number of answers during the load peaks as a share of the slot
// capacity in that time.
double OverloadGoodput(const deployment& measured, const scenario& spec,
                       const load_result& load, milliseconds duration) {
  const microseconds length = kPeakLength - 2 * kPeakRamp;
  // The slots fill up during the service time of the peak's first calls.
  const auto fill_time =
      milliseconds(static_cast<std::int64_t>(measured.short_ms));
  const microseconds first =
      (kPeakPeriod - kPeakLength) / 2 + kPeakRamp + fill_time;
  std::size_t answers = 0;
  std::size_t peaks = 0;
  for (microseconds start = first; start + length <= duration;
       start += kPeakPeriod) {
    ++peaks;
    answers += static_cast<std::size_t>(
        std::ranges::count_if(load.calls, [&](const call_sample& call) {
          const microseconds end = call.intended + call.latency;
          return call.result == call_status::kAnswered && end >= start &&
                 end < start + length;
        }));
  }
  const double seconds = std::chrono::duration<double>(length).count();
  const double capacity = SlotCapacity(measured, spec.long_share) * seconds *
                          static_cast<double>(peaks);
  return capacity > 0 ? static_cast<double>(answers) / capacity : 0;
}

std::string HealthyBehaviour(const deployment& measured) {
  return fmt::format(
      R"({{"short_ms":{},"long_ms":{},"slow_factor":1,"fail_share":0,)"
      R"("cold_start_ms":0,"shed_above":0,"load":"true"}})",
      measured.short_ms, measured.long_ms);
}

}  // namespace

const std::vector<scenario>& Scenarios() {
  static const std::vector<scenario> kAll = {
      {.name = "calm", .faulty = "", .with_baselines = true},
      {.name = "one slow, long about",
       .faulty = R"({"slow_factor":20})",
       .utilisation = 0.5,
       .with_baselines = true},
      {.name = "crest of a 10x swing",
       .faulty = "",
       .utilisation = 0.15,
       .long_share = 0,
       .peak_factor = 10,
       .deadline = milliseconds(5000),
       .with_baselines = true},
      {.name = "one failing fast", .faulty = R"({"fail_share":1})"},
      {.name = "one cold", .faulty = R"({"cold_start_ms":2000})"},
      {.name = "one shedding", .faulty = R"({"slow_factor":3,"shed_above":1})"},
      {.name = "one lagging load",
       .faulty = R"({"slow_factor":5,"load":"lagging"})"},
      {.name = "one always idle",
       .faulty = R"({"slow_factor":5,"load":"zero"})"},
  };
  return kAll;
}

scenario_row RunScenario(site& running, const deployment& measured,
                         const scenario& spec, const scenario_run& run) {
  scenario_row row{.scenario = spec.name,
                   .picker = std::string(run.picker),
                   .seed = run.seed,
                   .short_calls = {},
                   .long_calls = {}};
  const std::string settings = fmt::format(
      "[service]\npicker = {}\n{}", run.picker, measured.overload_settings);
  if (!running.SetServiceSettings(measured.measured_service, settings)) {
    return row;
  }
  if (!spec.faulty.empty()) {
    running.SetBehaviour(measured.first_measured, spec.faulty);
  }
  const microseconds cpu_before = CpuOfNodes(running);
  const auto load = RunLoad(MakePlan(running, measured, spec, run));
  const microseconds cpu = CpuOfNodes(running) - cpu_before;
  running.SetBehaviour(measured.first_measured, HealthyBehaviour(measured));
  if (!load) return row;
  row.short_calls = Summarise(*load, call_kind::kLookup);
  row.long_calls = Summarise(*load, call_kind::kHistory);
  const load_summary all = Summarise(*load);
  row.unknown = all.unknown;
  row.lost = all.failed + all.wrong;
  if (spec.peak_factor > 1) {
    row.overload_goodput = OverloadGoodput(measured, spec, *load, run.duration);
  }
  row.node_cpu_us_per_call =
      static_cast<double>(cpu.count()) /
      static_cast<double>(std::max<std::size_t>(all.sent, 1));
  return row;
}

}  // namespace hornbeam
