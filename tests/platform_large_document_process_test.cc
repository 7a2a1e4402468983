// Operators' documents of sizes around each limit, at every control VM.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <string>

#include "support/platform_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kControlVms = 3;
constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
// Around the limits of commands, frames and bodies.
constexpr std::size_t kSizes[] = {
    kMebibyte,           3 * kMebibyte - 4096,
    3 * kMebibyte,       4 * kMebibyte - 4096,
    4 * kMebibyte - 512, 4 * kMebibyte,
    5 * kMebibyte,       15 * kMebibyte,
    17 * kMebibyte,
};
constexpr milliseconds kOrderLimit{4000};
constexpr std::array kRefusals = {400, 413};

std::unique_ptr<platform_site> StartSite() {
  return platform_site::MakePlatformSite(
      {.control_vms = kControlVms},
      [](boost::asio::ip::tcp::socket& socket, const std::string& head) {
        return WriteUpstreamAnswer(socket, head, "history");
      });
}

// Adds a member that is kept but not interpreted.
std::string Pad(std::string table, std::size_t bytes) {
  table.pop_back();
  return table + fmt::format(R"(,"note":"{}"}})", std::string(bytes, 'n'));
}

bool AllServe(const platform_site& site) {
  return WaitUntil([&] {
    for (std::size_t index = 0; index < kControlVms; ++index)
      if (site.ReadTable(index).empty()) return false;
    return true;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_large_document_process_test)

// Guards against an order that ends a control VM: a document above the limit on
// messages between processes. It is accepted or refused, and all VMs serve on.
BOOST_AUTO_TEST_CASE(document_of_any_size_ends_no_control_vm) {
  const auto site = StartSite();
  BOOST_REQUIRE(site);
  int current = 1;
  for (const std::size_t size : kSizes) {
    for (std::size_t index = 0; index < kControlVms; ++index) {
      const int next = current + 2;
      const int status =
          site->Order(index, "/hornbeamlb/Config.Replace",
                      Pad(site->MakeTable(next, current), size), kOrderLimit);
      const bool is_refused =
          std::ranges::find(kRefusals, status) != kRefusals.end();
      BOOST_TEST((status == 200 || is_refused),
                 size << " bytes at " << index << ": " << status);
      if (status == 200) current = next;
      for (std::size_t each = 0; each < kControlVms; ++each)
        BOOST_REQUIRE(!site->ControlVm(each).WaitForExit(milliseconds(0)));
      BOOST_REQUIRE(AllServe(*site));
    }
  }
  BOOST_TEST(current > 1);
  BOOST_TEST(site->Replace(site->MakeTable(current + 2, current)) == 200);
}

// Guards against changes that are small enough each and together make a table
// that no message can carry.
BOOST_AUTO_TEST_CASE(table_that_grows_by_updates_ends_no_control_vm) {
  constexpr int kRoutesPerUpdate = 400;
  constexpr std::size_t kPrefixBytes = 2048;
  constexpr int kUpdates = 6;
  const auto site = StartSite();
  BOOST_REQUIRE(site);
  int current = 1;
  for (int update = 0; update < kUpdates; ++update) {
    std::string routes;
    for (int i = 0; i < kRoutesPerUpdate; ++i) {
      routes += fmt::format(
          R"({}"u{}-{}":{{"host":"h{}-{}.example","pathPrefix":"/{}/",)"
          R"("kind":"safe","service":"history","maxAttempts":1,)"
          R"("timeoutS":1,"aimS":1,"priority":0}})",
          routes.empty() ? "" : ",", update, i, update, i,
          std::string(kPrefixBytes, 'p'));
    }
    const std::string document = fmt::format(
        R"({{"version":"r{}","baseVersion":"r{}","upsert":{{"routes":{{{}}}}}}})",
        current + 2, current, routes);
    const int status =
        site->Order(static_cast<std::size_t>(update) % kControlVms,
                    "/hornbeamlb/Config.Update", document, kOrderLimit);
    const bool is_refused =
        std::ranges::find(kRefusals, status) != kRefusals.end();
    BOOST_TEST((status == 200 || is_refused),
               "update " << update << ": " << status);
    if (status == 200) current += 2;
    for (std::size_t each = 0; each < kControlVms; ++each)
      BOOST_REQUIRE(!site->ControlVm(each).WaitForExit(milliseconds(0)));
    BOOST_REQUIRE(AllServe(*site));
  }
  BOOST_TEST(current > 1);
  // A node that starts gets the whole table.
  BOOST_REQUIRE(site->RestartServingNode(SIGKILL));
  BOOST_TEST(site->WaitServingNodeReady());
  for (std::size_t each = 0; each < kControlVms; ++each)
    BOOST_TEST(!site->ControlVm(each).WaitForExit(milliseconds(0)));
  BOOST_TEST(WaitUntil([&] {
    return platform_connection(site->Callers())
               .Call("GET", "/history/x",
                     "Host: history.example\r\nX-Request-Id: r\r\n"
                     "X-Deadline-Ms: 1000\r\n")
               .status == 200;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
