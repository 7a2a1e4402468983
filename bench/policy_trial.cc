// Compares the load balancing policy with the baselines in a discrete-event
// simulation and prints one row per scenario and contender.
#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "support/site_trial.h"

namespace hornbeam::trial {

namespace {

struct trial_options {
  std::uint64_t seeds = 3;
  std::string only_scenario;
  std::string only_contender;
  double load = 0.6;
  simulated_site size;
  contender product{.name = "expected_wait"};
};

std::vector<scenario> Scenarios(double load) {
  return {
      {.name = "calm", .load = load},
      {.name = "calm 0.8", .load = 0.8},
      {.name = "slow 5x", .slow_factor = 5},
      {.name = "slow 20x", .slow_factor = 20},
      {.name = "fails fast", .fails_fast = true},
      {.name = "cold", .cold = true},
      {.name = "frozen", .frozen = true},
      {.name = "sheds", .load = 0.8, .sheds = true},
      {.name = "overrated", .load = 0.8, .overrated = true},
      {.name = "noisy", .noisy = true},
      {.name = "drains", .drains = true},
      {.name = "lying, slow 5x", .slow_factor = 5, .false_reports = true},
      {.name = "crest wait",
       .load = 0.15,
       .overload_factor = 10,
       .short_deadline = std::chrono::seconds(30)},
      {.name = "crest refuse",
       .load = 0.15,
       .overload_factor = 10,
       .overload = overload_policy::kRejectEarly},
  };
}

std::vector<contender> Contenders(const contender& product) {
  std::vector<contender> all{product};
  for (const picker_kind kind :
       {picker_kind::kRandom, picker_kind::kRoundRobin,
        picker_kind::kLeastOutstanding, picker_kind::kTwoChoices}) {
    all.push_back({.name = std::string(PickerKindName(kind)),
                   .kind = kind,
                   .full_policy = false});
  }
  for (const picker_kind kind :
       {picker_kind::kLeastOutstanding, picker_kind::kTwoChoices}) {
    all.push_back(
        {.name = std::string(PickerKindName(kind)) + "+", .kind = kind});
  }
  return all;
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + rank);
  return values[static_cast<std::size_t>(rank)];
}

// Adds the counts and samples of one seed to `row`.
void Add(outcome_counts& row, outcome_counts& seed) {
  std::ranges::copy(seed.short_ms, std::back_inserter(row.short_ms));
  std::ranges::copy(seed.long_ms, std::back_inserter(row.long_ms));
  row.sent += seed.sent;
  row.answered += seed.answered;
  row.rejected += seed.rejected;
  row.failed += seed.failed;
  row.dispatches += seed.dispatches;
  row.rejected_dispatches += seed.rejected_dispatches;
  row.hedges += seed.hedges;
  row.overload_goodput += seed.overload_goodput;
  row.probes += seed.probes;
  row.max_probes = std::max(row.max_probes, seed.max_probes);
}

void PrintRow(const scenario& current_scenario,
              const contender& current_contender, outcome_counts& row,
              std::uint64_t seeds) {
  std::cout << fmt::format(
      "{:15} {:19} {:7.1f} {:7.1f} {:8.1f} {:8.0f} {:8} {:6} {:6} {:6} {:6} "
      "{:7} {:6.3f} {:4}\n",
      current_scenario.name, current_contender.name,
      Quantile(row.short_ms, 0.5), Quantile(row.short_ms, 0.99),
      Quantile(row.short_ms, 0.999), Quantile(row.long_ms, 0.99), row.sent,
      row.rejected, row.failed,
      row.sent - row.answered - row.rejected - row.failed, row.hedges,
      row.rejected_dispatches,
      row.overload_goodput / static_cast<double>(seeds), row.max_probes);
}

void RunTrials(const trial_options& options) {
  std::cout << fmt::format(
      "{:15} {:19} {:>7} {:>7} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6} {:>7} "
      "{:>6} {:>4}\n",
      "scenario", "contender", "p50 ms", "p99", "p99.9", "long p99", "sent",
      "notrun", "failed", "lost", "hedges", "refhops", "work", "prb");
  for (const scenario& current_scenario : Scenarios(options.load)) {
    if (!current_scenario.name.starts_with(options.only_scenario)) continue;
    for (const contender& current_contender : Contenders(options.product)) {
      if (!current_contender.name.starts_with(options.only_contender)) continue;
      outcome_counts row;
      for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        outcome_counts counts =
            site_trial(options.size, current_scenario, current_contender, seed)
                .Run();
        Add(row, counts);
      }
      PrintRow(current_scenario, current_contender, row, options.seeds);
    }
  }
}

// Returns a command line value that sets `value` from a number of microseconds.
auto* Microseconds(duration& value) {
  return boost::program_options::value<std::int64_t>()->notifier(
      [&value](std::int64_t count) { value = duration(count); });
}

}  // namespace

// Adds options that change parameters of hornbeamlb's own policy.
void AddProductOptions(boost::program_options::options_description& description,
                       contender& product) {
  namespace po = boost::program_options;
  picker_options& options = product.options;
  auto add = description.add_options();
  add("sample-size", po::value(&options.sample_size),
      "number of random candidates compared at each distance");
  add("near-room-us", Microseconds(options.max_near_wait),
      "expected wait below which more distant upstreams are not considered");
  add("wait-limit-us", Microseconds(options.min_wait_limit),
      "smallest wait limit sent to a serving node");
  add("half-life-us", Microseconds(options.expected.count_half_life),
      "half-life of the counts of a report");
  add("long-slots", po::value(&product.admission.long_share_per_mille),
      "share of the slots for long calls, in thousandths");
  add("service-half-life-us",
      Microseconds(product.admission.short_times.half_life),
      "half-life of the service time of short calls");
  add("usual-calls", po::value(&product.admission.short_times.usual_calls),
      "weight of the usual service time, in calls");
  add("hedging", po::value(&product.hedging),
      "whether idempotent short calls are hedged");
}

}  // namespace hornbeam::trial

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  hornbeam::trial::trial_options options;
  po::options_description description("Options");
  auto add = description.add_options();
  add("help", "prints this text");
  add("seeds", po::value(&options.seeds), "number of seeds per row");
  add("scenario", po::value(&options.only_scenario),
      "runs only scenarios whose name starts with this");
  add("contender", po::value(&options.only_contender),
      "runs only contenders whose name starts with this");
  add("upstreams", po::value(&options.size.upstreams), "number of upstreams");
  add("ingress", po::value(&options.size.ingress_nodes),
      "number of ingress nodes");
  add("long-share", po::value(&options.size.long_share), "share of long calls");
  AddProductOptions(description, options.product);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description << '\n';
    return 0;
  }
  hornbeam::trial::RunTrials(options);
  return 0;
}
