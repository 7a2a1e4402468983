// Memory of a control VM over many changes of a large routing table.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

#include "support/platform_site.h"
#include "support/process_usage.h"

namespace hornbeam {

namespace {

// Memory of a control VM, above which its platform ends the process.
constexpr std::uint64_t kMemoryLimitBytes = std::uint64_t{256} << 20U;
constexpr int kRoutes = 7184;
constexpr int kChanges = 200;

std::string MakeTable(int version) {
  std::string routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes += fmt::format(
        R"({}"route-{}":{{"host":"history.example","pathPrefix":"/history/{}/",)"
        R"("kind":"unsafe","service":"history","maxAttempts":2,)"
        R"("timeoutS":1.2,"aimS":0.5,"priority":{}}})",
        i == 0 ? "" : ",", i, i, version % 3);
  }
  return fmt::format(
      R"({{"version":"r{}","baseVersion":"r{}","routes":{{{}}},)"
      R"("services":{{"history":{{"healthPath":"/health","maxConnections":220}}}},)"
      R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
      R"("headerTimeoutS":5,"idleTimeoutS":20}}}})",
      version, version - 1, routes);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_control_memory_process_test)

// Guards against a replicated log that keeps every large entry in memory: the
// platform ends the control VM when it exceeds its memory.
BOOST_AUTO_TEST_CASE(memory_stays_bounded_over_changes_of_a_large_table) {
  const auto site = platform_site::MakePlatformSite(
      {}, [](boost::asio::ip::tcp::socket& socket, const std::string& head) {
        return WriteUpstreamAnswer(socket, head, "history");
      });
  BOOST_REQUIRE(site);
  for (int version = 2; version < 2 + kChanges; ++version) {
    BOOST_REQUIRE_EQUAL(site->Replace(MakeTable(version)), 200);
  }
  const process_usage loaded = ReadProcessUsage(site->ControlVm().Pid());
  BOOST_TEST_MESSAGE("peak bytes: " << loaded.peak_resident_bytes);
  BOOST_TEST(loaded.peak_resident_bytes > 0U);
  BOOST_TEST(loaded.peak_resident_bytes < kMemoryLimitBytes);
  // Recovery reads the same log.
  BOOST_REQUIRE(site->RestartControlVm());
  const process_usage restarted = ReadProcessUsage(site->ControlVm().Pid());
  BOOST_TEST_MESSAGE("after a restart: " << restarted.peak_resident_bytes);
  BOOST_TEST(restarted.peak_resident_bytes > 0U);
  BOOST_TEST(restarted.peak_resident_bytes < kMemoryLimitBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
