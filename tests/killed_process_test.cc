// Operations run at most once and callers get the correct outcome when a
// serving node, an ingress or an upstream process is killed during a call.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "support/load_run.h"
#include "support/serving_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::size_t kIngressNode = 3;  // Serves dossiers, not guichet.
constexpr int kOk = 200;

// Sets the service time of later calls to guichet, approximately.
void SetServiceTime(site& running, int milliseconds) {
  const std::string behaviour =
      "{\"short_ms\":" + std::to_string(milliseconds) + "}";
  for (std::size_t upstream = 0; upstream < kIngressNode; ++upstream) {
    BOOST_REQUIRE(running.SetBehaviour(upstream, behaviour));
  }
}

// Returns a key in the format in which hornbeamctl prints it.
std::string WithoutDashes(std::string key) {
  std::erase(key, '-');
  return key;
}

// Sends `filing` repeatedly until it is answered or kDefaultWaitLimit has
// passed. Returns the last response.
caller_response ResendUntilAnswered(const std::string& address,
                                    const caller_request& filing) {
  caller_response response;
  WaitUntil([&] {
    response = CallOnce(address, filing);
    return response.status == kOk;
  });
  return response;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(killed_process_test)

BOOST_AUTO_TEST_CASE(killed_serving_node_yields_unknown_and_no_second_run) {
  const auto running = StartSite(MakeTestOptions());
  SetServiceTime(*running, 4000);
  const caller_request filing = MakeFiling("guichet");
  auto first = SendInBackground(running->Nodes()[kIngressNode].callers, filing);
  const std::size_t serving = WaitForRun(*running, filing.key);
  running->Nodes()[serving].process->Kill();

  std::vector<std::future<caller_response>> responses;
  responses.reserve(4);
  responses.push_back(std::move(first));
  for (const std::size_t node :
       {kIngressNode, kIngressNode + 1, kIngressNode + 2}) {
    responses.push_back(
        SendInBackground(running->Nodes()[node].callers, filing));
  }
  for (auto& each : responses) {
    const caller_response response = each.get();
    BOOST_TEST(response.outcome == "unknown", Describe(response));
  }
  const ctl_result listed =
      running->RunCtl({"operations", "--unresolved", "--min-age-ms", "0"});
  BOOST_TEST(listed.exit_code == 0, listed.errors);
  BOOST_TEST(listed.output.find(WithoutDashes(filing.key)) != std::string::npos,
             listed.output);

  SetServiceTime(*running, 5);
  BOOST_REQUIRE(running->Nodes()[serving].Start());
  BOOST_TEST(running->WaitUntilServing(kDefaultWaitLimit));
  const caller_response resent =
      CallOnce(running->Nodes()[kIngressNode].callers, filing);
  BOOST_TEST(resent.outcome == "unknown", Describe(resent));
  BOOST_TEST(CountRunsOf(*running, filing.key) == 1U);
}

BOOST_AUTO_TEST_CASE(resend_after_killed_ingress_runs_exactly_once) {
  constexpr std::size_t kFilings = 40;
  site_options options = MakeTestOptions();
  options.services[0].behaviour = R"({"short_ms":300})";
  const auto running = StartSite(options);
  std::vector<caller_request> filings(kFilings);
  std::ranges::generate(filings, [] { return MakeFiling("guichet"); });
  std::vector<std::future<caller_response>> first;
  first.reserve(kFilings);
  for (const caller_request& filing : filings) {
    first.push_back(
        SendInBackground(running->Nodes()[kIngressNode].callers, filing));
  }
  // At this point some filings are only sent, some claimed and some dispatched.
  const auto begun = [&](const caller_request& filing) {
    return CountRunsOf(*running, filing.key) > 0;
  };
  BOOST_TEST(WaitUntil([&] { return std::ranges::any_of(filings, begun); }));
  running->Nodes()[kIngressNode].process->Kill();
  for (auto& each : first) each.wait();

  for (const caller_request& filing : filings) {
    const caller_response response =
        ResendUntilAnswered(running->Nodes()[kIngressNode + 1].callers, filing);
    BOOST_TEST(response.status == kOk, Describe(response));
    BOOST_TEST(CountRunsOf(*running, filing.key) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(concurrent_copies_through_all_nodes_run_once) {
  const auto running = StartSite(MakeTestOptions());
  load_plan plan;
  plan.nodes = running->NodeAddresses();
  plan.services = {"guichet", "dossiers"};
  plan.rate = 60;
  plan.duration = std::chrono::seconds(3);
  plan.filing_share = 1;
  plan.history_share = 0;
  plan.resend_share = 1;
  plan.resends = 3;
  plan.eager_resends = true;
  const auto load = RunLoad(plan);
  BOOST_REQUIRE(load.has_value());
  const load_summary all = Summarise(*load);
  BOOST_TEST(all.answered == all.sent, "\n" << FormatText(*load));
  CheckFilings(*running, *load);
}

BOOST_AUTO_TEST_CASE(killed_upstream_yields_unknown_and_no_second_run) {
  const auto running = StartSite(MakeTestOptions());
  SetServiceTime(*running, 4000);
  const caller_request filing = MakeFiling("guichet");
  auto first = SendInBackground(running->Nodes()[kIngressNode].callers, filing);
  const std::size_t serving = WaitForRun(*running, filing.key);
  running->Upstreams()[serving].process->Kill();
  const caller_response response = first.get();
  BOOST_TEST(response.outcome == "unknown", Describe(response));
  const caller_response resent =
      CallOnce(running->Nodes()[kIngressNode + 1].callers, filing);
  BOOST_TEST(resent.outcome == "unknown", Describe(resent));
  BOOST_TEST(CountRunsOf(*running, filing.key) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
