// Helpers for process tests: start a site, send filings and check their runs.
#pragma once

#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "support/http_call.h"
#include "support/load_plan.h"
#include "support/site.h"

namespace hornbeam {

// Returns options for two services of three upstreams each: nodes 0 to 2 serve
// guichet, nodes 3 to 5 serve dossiers. So a caller can use an ingress that
// does not serve the requested service.
site_options MakeTestOptions();

// Starts a site and keeps its directory when the test ends. The test is aborted
// when the start fails.
std::unique_ptr<site> StartSite(const site_options& options);

// Returns how often the call with `key` started to run.
std::size_t CountRunsOf(const site& running, const std::string& key);

// Waits until the call with `key` runs and returns the index of its node. The
// test is aborted when the call does not start.
std::size_t WaitForRun(site& running, const std::string& key);

// Returns a filing for `service` with a new key.
caller_request MakeFiling(const std::string& service);

// Sends `request` to `address` on a new thread.
std::future<caller_response> SendInBackground(const std::string& address,
                                              const caller_request& request);

// Checks every filing against the recorded runs: no filing ran twice, every
// filing that was answered ran, and no filing whose copies were all answered
// "not run" did run.
void CheckFilings(const site& running, const load_result& load);

// Formats the response to a caller for a test message.
std::string Describe(const caller_response& response);

}  // namespace hornbeam
