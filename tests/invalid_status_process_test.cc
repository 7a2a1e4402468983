// Upstream of the product's own interface whose answers have a status that HTTP
// does not define.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ranges>
#include <string>
#include <string_view>

#include "support/serving_site.h"

namespace hornbeam {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t kUpstreams = 3;  // Of the service.
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr std::chrono::milliseconds kPromptly{1000};
constexpr std::chrono::milliseconds kDeadline{5000};
constexpr std::string_view kBroken = R"({"answer_status":0})";

caller_request MakeLookup() {
  caller_request lookup;
  lookup.target = "/guichet/lookup";
  lookup.deadline = kDeadline;
  return lookup;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(invalid_status_process_test)

// Guards against a filing whose caller takes status 000 for its answer, and
// against one that runs again although its upstream ran it.
BOOST_AUTO_TEST_CASE(filing_ends_as_unknown_at_once_and_runs_once) {
  const auto running = StartSite(MakeTestOptions());
  for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream)
    BOOST_REQUIRE(running->SetBehaviour(upstream, std::string(kBroken)));
  // The filing goes through the ledger, its ingress is another node.
  const std::string& node = running->Nodes()[4].callers;
  caller_request filing = MakeFiling("guichet");
  filing.deadline = kDeadline;
  for (int copy = 0; copy < 3; ++copy) {
    const auto started = steady_clock::now();
    const caller_response response = CallOnce(node, filing);
    BOOST_TEST(response.status == kBadGateway, Describe(response));
    BOOST_TEST(response.outcome == "unknown", Describe(response));
    BOOST_TEST((steady_clock::now() - started < kPromptly));
  }
  BOOST_TEST(CountRunsOf(*running, filing.key) == 1U);
}

// A broken answer counts as a failure of its upstream: the call is sent to
// another one, and the upstream is avoided like one that does not answer.
BOOST_AUTO_TEST_CASE(lookup_is_served_elsewhere_and_the_upstream_is_avoided) {
  constexpr std::size_t kLookups = 100;
  const auto running = StartSite(MakeTestOptions());
  const std::string& node = running->Nodes()[4].callers;
  const auto send_all = [&] {
    for (std::size_t lookup = 0; lookup < kLookups; ++lookup) {
      const caller_response response = CallOnce(node, MakeLookup());
      BOOST_TEST(response.status == kOk, Describe(response));
    }
  };
  const auto count_runs = [&](std::size_t upstream) {
    const auto runs = ReadRunRecord(running->Upstreams()[upstream].record);
    return static_cast<std::size_t>(
        std::ranges::count(runs, run_event::kReceived, &run_entry::event));
  };
  send_all();
  const std::size_t favourite = std::ranges::max(
      std::views::iota(std::size_t{0}, kUpstreams), {}, count_runs);
  BOOST_REQUIRE(running->SetBehaviour(favourite, std::string(kBroken)));
  const std::size_t before = count_runs(favourite);
  send_all();
  const std::size_t runs = count_runs(favourite) - before;
  BOOST_TEST(runs > 0U);
  BOOST_TEST(runs < kLookups / 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
