// Operators' changes and reads while a control VM is suspended.
#include <fmt/format.h>
#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "support/platform_site.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kControlVms = 3;
// An operator turns to another process after this time without a response.
constexpr milliseconds kPatience{1000};
constexpr milliseconds kPause{100};
// Stated limit of an acknowledgement while a majority of the control VMs runs.
constexpr milliseconds kAcknowledgementLimit{4000};

std::unique_ptr<platform_site> StartSite() {
  platform_site_options options;
  options.control_vms = kControlVms;
  return platform_site::MakePlatformSite(
      options,
      [](boost::asio::ip::tcp::socket& socket, const std::string& head) {
        return WriteUpstreamAnswer(socket, head, "history");
      });
}

platform_answer Read(const std::string& address) {
  platform_connection connection(address);
  connection.SetTimeLimit(kPatience);
  return connection.Call("GET", "/hornbeamlb/Config.Get", "Host: control\r\n");
}

platform_answer Change(const std::string& address, const std::string& table) {
  platform_connection connection(address);
  connection.SetTimeLimit(kPatience);
  return connection.Call("POST", "/hornbeamlb/Config.Replace",
                         "Host: control\r\nContent-Type: application/json\r\n",
                         table);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_operator_process_test)

// Guards against an operator whose try at a live control VM is used up by a
// redirect to another one.
BOOST_AUTO_TEST_CASE(each_control_vm_answers_changes_and_reads_itself) {
  const auto site = StartSite();
  BOOST_REQUIRE(site);
  int version = 1;
  for (std::size_t vm = 0; vm < kControlVms; ++vm) {
    const int next = version + 1;
    const std::string table = site->MakeTable(next, version);
    BOOST_TEST(Change(site->Operators(vm), table).status == 200);
    version = next;
    for (std::size_t reader = 0; reader < kControlVms; ++reader) {
      // A resend is acknowledged by every control VM, and each of them knows
      // what was acknowledged.
      BOOST_TEST(Change(site->Operators(reader), table).status == 200);
      const platform_answer read = Read(site->Operators(reader));
      BOOST_TEST(read.status == 200);
      BOOST_TEST(read.body.find(fmt::format(R"("r{}")", next)) !=
                 std::string::npos);
    }
  }
}

// Guards against changes that are acknowledged late because a live control VM
// gives up before the group has a new leader.
BOOST_AUTO_TEST_CASE(changes_are_acknowledged_while_the_leader_is_suspended) {
  const auto site = StartSite();
  BOOST_REQUIRE(site);
  const std::size_t leader = site->LeadingControlVm();
  BOOST_REQUIRE(site->ControlVm(leader).Signal(SIGSTOP));
  const std::size_t follower = (leader + 1) % kControlVms;
  const auto started = steady_clock::now();
  const std::string table = site->MakeTable(2, 1);
  platform_answer answer;
  while (answer.status != 200 &&
         steady_clock::now() - started < kAcknowledgementLimit) {
    answer = Change(site->Operators(follower), table);
    // Neither a redirect to the suspended VM nor a refusal.
    BOOST_TEST(answer.status != 307);
    if (answer.status != 200) std::this_thread::sleep_for(kPause);
  }
  BOOST_TEST(answer.status == 200);
  BOOST_TEST((steady_clock::now() - started < kAcknowledgementLimit));
  // The VM that led forwards as soon as it runs again.
  BOOST_REQUIRE(site->ControlVm(leader).Signal(SIGCONT));
  const std::string next = site->MakeTable(3, 2);
  BOOST_TEST(Change(site->Operators(leader), next).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
