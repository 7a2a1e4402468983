// Planned exchange of a control VM, followed by the loss of another one's disk.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "support/platform_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kControlVms = 3;
// A new control VM counts from then on.
constexpr seconds kCatchUp{4};
constexpr seconds kGrace{6};
constexpr milliseconds kDark{1500};
// By the pages, service returns within 15 s after the loss is over.
constexpr seconds kRecovery{15};

// Adds a control VM, stops `leaving` for good, gets a change acknowledged and
// takes the disk of another one.
void CheckExchange(bool leader_leaves) {
  const auto site = platform_site::MakePlatformSite(
      {.control_vms = kControlVms},
      [](boost::asio::ip::tcp::socket& socket, const std::string& head) {
        return WriteUpstreamAnswer(socket, head, "history");
      });
  BOOST_REQUIRE(site);
  const std::size_t successor = site->AddControlVm();
  std::this_thread::sleep_for(kCatchUp);
  const std::size_t leader = site->LeadingControlVm();
  const std::size_t leaving =
      leader_leaves ? leader : (leader + 1) % kControlVms;
  const std::size_t losing = (leaving + 1) % kControlVms;
  const std::size_t staying = (leaving + 2) % kControlVms;
  site->ControlVm(leaving).Signal(SIGTERM);
  BOOST_REQUIRE(site->ControlVm(leaving).WaitForExit(kGrace));
  const std::vector<std::size_t> rest = {losing, staying, successor};
  BOOST_REQUIRE(site->ReplaceAtAny(site->MakeTable(3, 1), rest, kRecovery));
  site->LoseControlDisk(losing, kDark);
  BOOST_TEST(WaitUntil(
      [&] {
        return std::ranges::any_of(rest, [&](std::size_t index) {
          return site->ReadTable(index).find("\"r3\"") != std::string::npos;
        });
      },
      kRecovery));
  BOOST_TEST(site->ReplaceAtAny(site->MakeTable(5, 3), rest, kRecovery));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_exchange_process_test)

// Guard against a planned exchange after which one lost disk ends the control
// group for good (review/6).
BOOST_AUTO_TEST_CASE(lost_disk_after_exchange_of_a_follower_is_borne) {
  CheckExchange(false);
}

BOOST_AUTO_TEST_CASE(lost_disk_after_exchange_of_the_leader_is_borne) {
  CheckExchange(true);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
