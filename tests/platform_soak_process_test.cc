// Soak of the platform's daemon: restarts, kills, suspensions, exchanges, lost
// disks, cut links, leaves, late reports, spoiled answers and changes, in
// series and at the same time. HORNBEAM_SOAK_SEEDS ("FIRST-LAST") and
// HORNBEAM_SOAK_NODES select longer runs.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "support/platform_soak_run.h"

namespace hornbeam {

namespace {

void CheckSoak(const soak_options& options) {
  const soak_result result = RunSoak(options);
  BOOST_TEST_MESSAGE("seed "
                     << options.seed << ": " << result.runs << " runs, "
                     << result.answered << " answered, " << result.restarts
                     << " restarts, " << result.exchanges << " exchanges, "
                     << result.cuts << " cuts, " << result.checked_probes
                     << " probes, latest " << result.latest_version.count()
                     << " ms, " << result.changes << " changes");
  for (const std::string& each : result.failures)
    BOOST_ERROR("seed " << options.seed << ": " << each);
  BOOST_TEST(result.answered > 0U);
  BOOST_TEST(result.restarts > 0U);
  BOOST_TEST(result.changes > 0U);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_soak_process_test)

BOOST_AUTO_TEST_CASE(soak_of_seed_1) { CheckSoak({.seed = 1}); }

BOOST_AUTO_TEST_CASE(soak_of_seed_2) { CheckSoak({.seed = 2}); }

BOOST_AUTO_TEST_CASE(soak_of_seed_3) { CheckSoak({.seed = 3}); }

BOOST_AUTO_TEST_CASE(soak_of_more_seeds) {
  const char* const seeds = std::getenv("HORNBEAM_SOAK_SEEDS");
  if (seeds == nullptr) return;
  const std::string range = seeds;
  const std::size_t dash = range.find('-');
  BOOST_REQUIRE(dash != std::string::npos);
  const char* const nodes = std::getenv("HORNBEAM_SOAK_NODES");
  soak_options options;
  if (nodes != nullptr) options.nodes = std::stoul(nodes);
  options.callers = 4 * options.nodes;
  options.fault_threads = options.nodes / 2;
  for (options.seed = std::stoull(range.substr(0, dash));
       options.seed <= std::stoull(range.substr(dash + 1)); ++options.seed) {
    CheckSoak(options);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
