// Callers that disconnect before the answer. A call that was dispatched must
// not run a second time when the caller sends it again, and a call that was
// still queued must not run at all. The tests count three events that the
// stand-in records: run received, run finished and caller gone.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string_view>

#include "support/serving_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::chrono::milliseconds kCallerTimeout{500};
constexpr int kOk = 200;

std::size_t CountEvents(const site& running, run_event event) {
  const auto runs = running.Runs();
  return static_cast<std::size_t>(
      std::ranges::count_if(runs, [&](const run_entry& run) {
        return run.event == event && !run.target.ends_with("warm-up");
      }));
}

site_options MakeSlowOptions(std::string_view behaviour) {
  site_options options = MakeTestOptions();
  options.services.resize(1);
  options.services[0].upstreams = 1;
  options.services[0].slots = 1;
  options.services[0].behaviour = behaviour;
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_gone_process_test)

BOOST_AUTO_TEST_CASE(caller_timeout_and_resend_cause_no_second_run) {
  const auto running =
      StartSite(MakeSlowOptions(R"({"short_ms":20,"honour_cancel":false})"));
  BOOST_REQUIRE(running->SetBehaviour(0, R"({"short_ms":3000})"));
  const caller_request filing = MakeFiling("guichet");
  const std::string& node = running->Nodes()[0].callers;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const caller_response gave_up = CallOnce(node, filing, kCallerTimeout);
    BOOST_TEST(gave_up.status != kOk, Describe(gave_up));
  }
  caller_response last;
  BOOST_TEST(WaitUntil([&] {
               last = CallOnce(node, filing);
               return last.status == kOk;
             }),
             Describe(last));
  BOOST_TEST(CountEvents(*running, run_event::kReceived) == 1U);
  BOOST_TEST(CountEvents(*running, run_event::kFinished) == 1U);
  // The upstream is notified that the caller is gone and may still finish.
  BOOST_TEST(CountEvents(*running, run_event::kCallerGone) >= 1U);
}

BOOST_AUTO_TEST_CASE(queued_call_of_disconnected_caller_never_runs) {
  const auto running = StartSite(MakeSlowOptions(R"({"short_ms":20})"));
  BOOST_REQUIRE(running->SetBehaviour(0, R"({"short_ms":2000})"));
  const std::string& node = running->Nodes()[0].callers;
  const caller_request holder = MakeFiling("guichet");
  auto held = SendInBackground(node, holder);
  WaitForRun(*running, holder.key);
  const caller_request queued = MakeFiling("guichet");
  const caller_response gave_up = CallOnce(node, queued, kCallerTimeout);
  BOOST_TEST(gave_up.status != kOk, Describe(gave_up));
  BOOST_TEST(held.get().status == kOk);
  // A later call runs; the abandoned call does not.
  BOOST_REQUIRE(running->SetBehaviour(0, R"({"short_ms":20})"));
  BOOST_TEST(CallOnce(node, MakeFiling("guichet")).status == kOk);
  BOOST_TEST(CountRunsOf(*running, queued.key) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
