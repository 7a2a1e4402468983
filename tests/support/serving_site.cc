#include "support/serving_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string_view>

#include "base/seeded_random_source.h"
#include "support/load_run.h"
#include "support/uuid_v7.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

void RequireNone(const std::vector<std::string>& keys, const load_result& load,
                 std::string_view violation) {
  BOOST_TEST(keys.empty(), keys.size()
                               << " of " << load.filings.size() << " filings "
                               << violation << ", the first of them "
                               << (keys.empty() ? "" : keys.front()));
}

}  // namespace

site_options MakeTestOptions() {
  site_options options;
  for (const std::string name : {"guichet", "dossiers"}) {
    options.services.push_back(site_service{
        .name = name, .behaviour = R"({"short_ms":5,"long_ms":100})"});
  }
  return options;
}

std::unique_ptr<site> StartSite(const site_options& options) {
  auto running = site::MakeSite(options);
  BOOST_REQUIRE(running != nullptr);
  running->KeepDirectory();
  BOOST_TEST_MESSAGE("site directory: " << running->Directory().string());
  BOOST_REQUIRE_MESSAGE(running->Start(), running->LastError()
                                              << "; logs are in "
                                              << running->Directory().string());
  return running;
}

std::size_t CountRunsOf(const site& running, const std::string& key) {
  return CountRuns(running.Runs(), run_event::kReceived, key);
}

std::size_t WaitForRun(site& running, const std::string& key) {
  const auto& upstreams = running.Upstreams();
  auto found = upstreams.end();
  const bool begun = WaitUntil([&] {
    found = std::ranges::find_if(upstreams, [&](const site_process& upstream) {
      return CountRuns(ReadRunRecord(upstream.record), run_event::kReceived,
                       key) > 0;
    });
    return found != upstreams.end();
  });
  BOOST_REQUIRE_MESSAGE(begun, "the filing did not start to run");
  return static_cast<std::size_t>(found - upstreams.begin());
}

caller_request MakeFiling(const std::string& service) {
  static seeded_random_source random(seeded_random_source::MakeSystemSeed());
  caller_request request;
  request.method = "POST";
  request.target = "/" + service + "/filing";
  request.key = MakeUuidV7(random);
  request.body = "{}";
  return request;
}

std::future<caller_response> SendInBackground(const std::string& address,
                                              const caller_request& request) {
  return std::async(std::launch::async, [address, request] {
    return CallOnce(address, request, kDefaultWaitLimit);
  });
}

void CheckFilings(const site& running, const load_result& load) {
  std::map<std::string, std::size_t> runs_of_key;
  for (const run_entry& run : running.Runs()) {
    if (run.event == run_event::kReceived) ++runs_of_key[run.key];
  }
  std::vector<std::string> ran_twice;
  std::vector<std::string> never_ran;
  std::vector<std::string> wrongly_not_run;
  for (const filing_result& filing : load.filings) {
    const std::size_t times = runs_of_key[filing.key];
    const auto count_copies = [&](call_status status) {
      return std::ranges::count(filing.copies, status);
    };
    const bool all_not_run =
        count_copies(call_status::kNotRun) == std::ssize(filing.copies);
    if (times > 1) ran_twice.push_back(filing.key);
    if (count_copies(call_status::kAnswered) > 0 && times == 0) {
      never_ran.push_back(filing.key);
    }
    if (all_not_run && times > 0) wrongly_not_run.push_back(filing.key);
  }
  RequireNone(ran_twice, load, "ran more than once");
  RequireNone(never_ran, load, "were answered but never ran");
  RequireNone(wrongly_not_run, load, "were answered not-run but ran");
}

std::string Describe(const caller_response& response) {
  return fmt::format("status {} outcome '{}' reason '{}' body '{}'",
                     response.status, response.outcome, response.reason,
                     response.body.substr(0, 100));
}

}  // namespace hornbeam
