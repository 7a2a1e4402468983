// Two simultaneous faults under load. A seed, which the test prints, selects
// the pair. No call may fail or return a wrong answer, no operation may run
// twice, and operations run again when the faults are reverted.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string_view>

#include "base/seeded_random_source.h"
#include "support/load_run.h"
#include "support/serving_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::chrono::seconds kLoadTime{6};
constexpr std::size_t kRunsBeforeFaults = 30;
constexpr std::size_t kKilledNode = 1;
constexpr std::size_t kFrozenNode = 2;
constexpr std::size_t kSilencedNode = 0;
constexpr std::size_t kKilledControl = 0;
constexpr std::size_t kFrozenControl = 1;
constexpr std::size_t kPartitionedControl = 2;

// A fault to inject and the action that reverts it. A killed process is not
// restarted.
struct fault {
  std::string_view name;
  void (*inject)(site& running);
  void (*revert)(site& running);
};

void RevertNothing(site& /*running*/) {}

constexpr auto kFaults = std::to_array<fault>({
    {"killed node",
     [](site& running) { running.Nodes()[kKilledNode].process->Kill(); },
     RevertNothing},
    {"frozen node",
     [](site& running) {
       running.Nodes()[kFrozenNode].process->Signal(SIGSTOP);
     },
     [](site& running) {
       running.Nodes()[kFrozenNode].process->Signal(SIGCONT);
     }},
    {"killed control VM",
     [](site& running) {
       running.ControlVms()[kKilledControl].process->Kill();
     },
     RevertNothing},
    {"frozen control VM",
     [](site& running) {
       running.ControlVms()[kFrozenControl].process->Signal(SIGSTOP);
     },
     [](site& running) {
       running.ControlVms()[kFrozenControl].process->Signal(SIGCONT);
     }},
    {"control VM partitioned from nodes",
     [](site& running) {
       running.ControlRelay(kPartitionedControl).SetPartitioned(true);
     },
     [](site& running) {
       running.ControlRelay(kPartitionedControl).SetPartitioned(false);
     }},
    {"silent connections of a node",
     [](site& running) {
       running.NodeRelay(kSilencedNode).SilenceOpenConnections();
     },
     RevertNothing},
});

// Selects two different faults by `seed`.
std::array<fault, 2> SelectFaults(std::uint64_t seed) {
  seeded_random_source random(seed);
  const std::size_t first = random.NextBelow(kFaults.size());
  const std::size_t step = 1 + random.NextBelow(kFaults.size() - 1);
  return {kFaults[first], kFaults[(first + step) % kFaults.size()]};
}

// Callers connect only to nodes that no fault kills or freezes.
load_plan MakePlan(const site& running, std::uint64_t seed) {
  load_plan plan;
  plan.nodes = running.NodeAddresses();
  plan.nodes.erase(plan.nodes.begin() + kKilledNode,
                   plan.nodes.begin() + kFrozenNode + 1);
  plan.services = {"guichet", "dossiers"};
  plan.rate = 100;
  plan.duration = kLoadTime;
  plan.filing_share = 0.3;
  plan.resend_share = 0.5;
  plan.seed = seed;
  return plan;
}

void RunPair(std::uint64_t seed) {
  const auto faults = SelectFaults(seed);
  BOOST_TEST_MESSAGE("seed " << seed << ": " << faults[0].name << ", "
                             << faults[1].name);
  site_options options = MakeTestOptions();
  options.relay_control = true;
  options.relay_nodes = true;
  const auto running = StartSite(options);
  const load_plan plan = MakePlan(*running, seed);
  auto load = std::async(std::launch::async, [&] { return RunLoad(plan); });
  BOOST_TEST(
      WaitUntil([&] { return running->Runs().size() > kRunsBeforeFaults; }));
  for (const fault& each : faults) each.inject(*running);
  const auto result = load.get();
  for (const fault& each : faults) each.revert(*running);
  BOOST_REQUIRE(result.has_value());
  const load_summary all = Summarise(*result);
  BOOST_TEST(all.failed + all.wrong == 0U, "\n" << FormatText(*result));
  CheckFilings(*running, *result);
  // After the faults are reverted, an operation runs again, exactly once.
  const caller_request filing = MakeFiling("dossiers");
  BOOST_TEST(WaitUntil([&] {
    return CallOnce(running->Nodes()[kSilencedNode].callers, filing).status ==
           200;
  }));
  BOOST_TEST(CountRunsOf(*running, filing.key) == 1U);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(paired_faults_process_test)

BOOST_AUTO_TEST_CASE(fault_pair_of_seed_1) { RunPair(1); }

BOOST_AUTO_TEST_CASE(fault_pair_of_seed_2) { RunPair(2); }

BOOST_AUTO_TEST_CASE(fault_pair_of_seed_5) { RunPair(5); }

BOOST_AUTO_TEST_CASE(fault_pair_of_seed_4) { RunPair(4); }

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
