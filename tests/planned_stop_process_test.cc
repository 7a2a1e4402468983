// Graceful shutdown under load: when a node or a control VM gets SIGTERM, or an
// upstream drains, every call is still answered.
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "support/load_run.h"
#include "support/serving_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::chrono::seconds kLoadTime{5};
constexpr std::size_t kRunsBeforeStop = 10;

load_plan MakeStopPlan(std::vector<std::string> nodes) {
  load_plan plan;
  plan.nodes = std::move(nodes);
  plan.services = {"guichet", "dossiers"};
  plan.rate = 150;
  plan.duration = kLoadTime;
  plan.filing_share = 0.2;
  return plan;
}

void RequireAllAnswered(const site& running, const load_result& load) {
  const load_summary all = Summarise(load);
  BOOST_TEST(all.sent > 0U);
  BOOST_TEST(all.answered == all.sent, "\n" << FormatText(load));
  CheckFilings(running, load);
}

// Runs load through `nodes` and sends SIGTERM to `stopped` while it runs.
void StopUnderLoad(site& running, site_process& stopped,
                   const std::vector<std::string>& nodes) {
  const load_plan plan = MakeStopPlan(nodes);
  auto load = std::async(std::launch::async, [&] { return RunLoad(plan); });
  const std::size_t before = running.Runs().size();
  BOOST_TEST(WaitUntil(
      [&] { return running.Runs().size() > before + kRunsBeforeStop; }));
  BOOST_TEST(stopped.process->Signal(SIGTERM));
  const auto code = stopped.process->WaitForExit(kDefaultWaitLimit);
  const auto result = load.get();
  BOOST_REQUIRE(code.has_value());
  BOOST_TEST(*code == 0);
  BOOST_REQUIRE(result.has_value());
  RequireAllAnswered(running, *result);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_process_test)

BOOST_AUTO_TEST_CASE(stopped_serving_node_interrupts_no_call) {
  const auto running = StartSite(MakeTestOptions());
  auto nodes = running->NodeAddresses();
  nodes.erase(nodes.begin() + 1);
  StopUnderLoad(*running, running->Nodes()[1], nodes);
}

BOOST_AUTO_TEST_CASE(stopped_ingress_interrupts_no_call) {
  const auto running = StartSite(MakeTestOptions());
  StopUnderLoad(*running, running->Nodes()[4], running->NodeAddresses());
}

BOOST_AUTO_TEST_CASE(stopped_control_vm_interrupts_no_call) {
  const auto running = StartSite(MakeTestOptions());
  for (site_process& vm : running->ControlVms()) {
    StopUnderLoad(*running, vm, running->NodeAddresses());
    BOOST_REQUIRE(vm.Start());
    BOOST_REQUIRE(running->WaitUntilServing(kDefaultWaitLimit));
  }
}

BOOST_AUTO_TEST_CASE(
    draining_upstream_gets_no_new_calls_and_completes_running_ones) {
  const auto running = StartSite(MakeTestOptions());
  const load_plan plan = MakeStopPlan(running->NodeAddresses());
  auto load = std::async(std::launch::async, [&] { return RunLoad(plan); });
  BOOST_TEST(WaitUntil([&] { return running->Runs().size() > 20; }));
  BOOST_TEST(running->SetBehaviour(0, R"({"draining":true})"));
  // A drain must stop new calls within a few seconds; the load lasts longer.
  const auto count_runs = [&] {
    return ReadRunRecord(running->Upstreams()[0].record).size();
  };
  constexpr std::chrono::seconds kDrainLimit{3};
  std::this_thread::sleep_for(kDrainLimit);
  const std::size_t at_limit = count_runs();
  const auto result = load.get();
  BOOST_TEST(count_runs() == at_limit);
  BOOST_REQUIRE(result.has_value());
  RequireAllAnswered(*running, *result);
  BOOST_TEST(running->Stop(), running->LastError());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
