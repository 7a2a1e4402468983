// Program run by tools/bench: measures a deployment of real processes on the
// loopback interface.
#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string>

#include "site/bench_report.h"
#include "site/deployment.h"
#include "site/node_cost.h"
#include "site/scenario.h"
#include "support/site.h"

namespace hornbeam {

namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;
// Rate per node that the required size of the deployments gives.
constexpr double kCallsPerSecondPerNode = 45;
constexpr std::chrono::milliseconds kUsageRun{4000};

struct command_line {
  std::string deployment = "nappe";
  std::string only;
  std::uint64_t seeds = 1;
  double seconds = 2.5;
  bool wants_json = false;
  bool slopes = false;
};

po::options_description DescribeOptions(command_line& line) {
  po::options_description description("tools/bench");
  auto add = description.add_options();
  add("help", "prints this text");
  add("deployment", po::value(&line.deployment)->default_value(line.deployment),
      "nappe or aral");
  add("only", po::value(&line.only),
      "runs only the scenarios whose name contains this");
  add("seeds", po::value(&line.seeds)->default_value(line.seeds),
      "runs of each scenario, each with its own seed");
  add("seconds", po::value(&line.seconds)->default_value(line.seconds),
      "length of one run");
  add("json", po::bool_switch(&line.wants_json), "prints JSON");
  add("slopes", po::bool_switch(&line.slopes),
      "measures only the resource usage of the processes, at several rates");
  return description;
}

bool IsWanted(const scenario& spec, const command_line& line) {
  return spec.name.find(line.only) != std::string::npos;
}

void RunScenarios(site& running, const deployment& measured,
                  const command_line& line, bench_report& report) {
  const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(line.seconds));
  for (const scenario& spec : Scenarios()) {
    if (!IsWanted(spec, line)) continue;
    const std::size_t pickers = spec.with_baselines ? kPickers.size() : 1;
    for (std::uint64_t seed = 1; seed <= line.seeds; ++seed) {
      for (std::size_t index = 0; index < pickers; ++index) {
        report.scenarios.push_back(RunScenario(
            running, measured, spec,
            scenario_run{
                .picker = kPickers[index], .seed = seed, .duration = length}));
        fmt::print(stderr, "{}, {}, seed {}\n", spec.name, kPickers[index],
                   seed);
      }
    }
  }
}

void MeasureCosts(site& running, const deployment& measured,
                  const command_line& line, bench_report& report) {
  const auto nodes = static_cast<double>(running.Nodes().size());
  std::vector<double> rates = {0, kCallsPerSecondPerNode};
  if (line.slopes) rates = {0, 10, kCallsPerSecondPerNode, 100, 200};
  for (const double rate : rates) {
    std::ranges::copy(MeasureUsage(running, measured, rate * nodes, kUsageRun),
                      std::back_inserter(report.usages));
  }
  report.added_times = MeasureAddedTime(running, measured);
}

std::unique_ptr<site> StartBenchSite(const deployment& measured,
                                     bool with_zone_delays) {
  site_options options;
  options.services = measured.services;
  options.availability_zones = measured.availability_zones;
  options.relay_control = !with_zone_delays;
  options.relay_nodes = with_zone_delays;
  options.sync_records = false;
  auto running = site::MakeSite(options);
  if (running == nullptr) {
    fmt::print(stderr, "bench: no free ports or no temporary directory\n");
    return nullptr;
  }
  if (with_zone_delays) running->SetZoneDelay(measured.zone_delay);
  if (running->Start()) return running;
  fmt::print(stderr, "bench: the site did not start: {}\n",
             running->LastError());
  return nullptr;
}

int Run(const command_line& line) {
  const auto measured = FindDeployment(line.deployment);
  if (!measured) {
    fmt::print(stderr, "bench: the deployment must be nappe or aral\n");
    return kUsageError;
  }
  bench_report report;
  report.deployment = measured->name;
  if (line.only.empty()) {
    const auto running = StartBenchSite(*measured, false);
    if (running == nullptr) return 1;
    MeasureCosts(*running, *measured, line, report);
  }
  if (!line.slopes) {
    const auto running = StartBenchSite(*measured, true);
    if (running == nullptr) return 1;
    RunScenarios(*running, *measured, line, report);
  }
  std::cout << (line.wants_json ? FormatBenchJson(report)
                                : FormatBenchText(report));
  return 0;
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  hornbeam::command_line line;
  const auto description = hornbeam::DescribeOptions(line);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "bench: " << error.what() << "\n";
    return hornbeam::kUsageError;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  return hornbeam::Run(line);
}
