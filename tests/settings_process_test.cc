// Durability of accepted settings: concurrent writers, lost replies, killed
// processes, frozen leaders and a lost disk never lose or revert an accepted
// change.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "support/serving_site.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr std::string_view kPath = "nappe/services/guichet";
constexpr int kReadsAfterResume = 5;
constexpr int kConflictExitCode = 5;  // Of hornbeamctl.

std::string DocumentOf(std::size_t number) {
  return fmt::format("[service]\ndeadline_default_ms = {}\n", 10'000 + number);
}

std::string WriteDocument(const site& running, std::size_t number) {
  const auto file =
      running.Directory() / fmt::format("document-{}.ini", number);
  std::ofstream(file) << DocumentOf(number);
  return file.string();
}

ctl_result SetDocument(site& running, std::size_t number,
                       std::vector<std::string> more = {}) {
  std::vector<std::string> arguments = {
      "settings",  "set", std::string(kPath), WriteDocument(running, number),
      "--wait-ms", "0"};
  std::ranges::move(more, std::back_inserter(arguments));
  return running.RunCtl(arguments);
}

// Returns whether the output of `settings get` is document `number`.
bool IsDocument(const ctl_result& got, std::size_t number) {
  return got.output.find(std::to_string(10'000 + number)) != std::string::npos;
}

// Starts a site that has only control VMs.
std::unique_ptr<site> StartControlVms() {
  site_options options;
  return StartSite(options);
}

bool KillAndRestartAll(std::vector<site_process>& processes) {
  for (site_process& each : processes) each.process->Kill();
  return std::ranges::all_of(processes,
                             [](site_process& each) { return each.Start(); });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_process_test)

BOOST_AUTO_TEST_CASE(accepted_changes_survive_kill_of_every_process) {
  constexpr std::size_t kChanges = 500;
  const auto running = StartSite(MakeTestOptions());
  for (std::size_t number = 1; number <= kChanges; ++number) {
    const ctl_result done = SetDocument(*running, number);
    BOOST_REQUIRE_MESSAGE(done.exit_code == 0, done.output << done.errors);
  }
  BOOST_REQUIRE(KillAndRestartAll(running->ControlVms()));
  BOOST_REQUIRE(KillAndRestartAll(running->Nodes()));
  BOOST_TEST(running->WaitUntilServing(kDefaultWaitLimit));
  ctl_result got;
  BOOST_TEST(WaitUntil([&] {
               got = running->RunCtl({"settings", "get", std::string(kPath)});
               return got.exit_code == 0;
             }),
             got.errors);
  BOOST_TEST(IsDocument(got, kChanges), got.output);
}

BOOST_AUTO_TEST_CASE(resumed_leader_returns_no_outdated_settings) {
  const auto running = StartControlVms();
  std::size_t number = 1;
  BOOST_TEST(
      WaitUntil([&] { return SetDocument(*running, number).exit_code == 0; }));
  // One of the three is the leader; each is frozen once.
  for (std::size_t frozen = 0; frozen < 3; ++frozen) {
    child_process& vm = *running->ControlVms()[frozen].process;
    BOOST_TEST(vm.Signal(SIGSTOP));
    ++number;
    ctl_result set;
    BOOST_TEST(WaitUntil([&] {
                 set = SetDocument(*running, number);
                 return set.exit_code == 0;
               }),
               set.output << set.errors);
    BOOST_TEST(vm.Signal(SIGCONT));
    // The resumed VM may reject a read but must not return the older document.
    for (int attempt = 0; attempt < kReadsAfterResume; ++attempt) {
      const ctl_result got = running->RunCtlAt(
          frozen,
          {"settings", "get", std::string(kPath), "--timeout-ms", "500"});
      BOOST_TEST((got.exit_code != 0 || IsDocument(got, number)), got.output);
    }
    const ctl_result got =
        running->RunCtl({"settings", "get", std::string(kPath)});
    BOOST_TEST(IsDocument(got, number), got.output << got.errors);
  }
}

BOOST_AUTO_TEST_CASE(lost_disk_then_killed_vm_loses_no_change) {
  const auto running = StartControlVms();
  BOOST_TEST(
      WaitUntil([&] { return SetDocument(*running, 1).exit_code == 0; }));
  site_process& repaired = running->ControlVms()[0];
  repaired.process->Kill();
  std::filesystem::remove_all(repaired.data_folder);
  std::filesystem::create_directory(repaired.data_folder);
  BOOST_REQUIRE(repaired.Start());
  BOOST_TEST(
      WaitUntil([&] { return SetDocument(*running, 2).exit_code == 0; }));
  // A ready control VM is a voter of the quorum again.
  BOOST_TEST(WaitUntil([&] { return IsOk(repaired.local, "/ready"); }));
  running->ControlVms()[1].process->Kill();
  ctl_result got;
  BOOST_TEST(WaitUntil([&] {
               got = running->RunCtl({"settings", "get", std::string(kPath)});
               return got.exit_code == 0;
             }),
             got.output << got.errors);
  BOOST_TEST(IsDocument(got, 2), got.output);
}

BOOST_AUTO_TEST_CASE(
    concurrent_change_has_one_winner_and_resends_are_idempotent) {
  const auto running = StartControlVms();
  BOOST_TEST(
      WaitUntil([&] { return SetDocument(*running, 1).exit_code == 0; }));
  const std::array<std::string, 2> ids = {"0000000000000000000000000000000a",
                                          "0000000000000000000000000000000b"};
  const auto send_change = [&](std::size_t operator_index) {
    return SetDocument(*running, 10 + operator_index,
                       {"--revision", "1", "--change-id", ids[operator_index]});
  };
  const auto send_both = [&] {
    auto first = std::async(std::launch::async, send_change, 0);
    auto second = std::async(std::launch::async, send_change, 1);
    return std::array{first.get(), second.get()};
  };
  const auto results = send_both();
  const std::size_t winner = results[0].exit_code == 0 ? 0 : 1;
  BOOST_TEST(results[winner].exit_code == 0, results[winner].errors);
  BOOST_TEST(results[1 - winner].exit_code == kConflictExitCode,
             results[1 - winner].errors);
  // Both resend their change, as after a lost reply.
  const auto resent = send_both();
  BOOST_TEST(resent[winner].exit_code == 0, resent[winner].errors);
  BOOST_TEST(resent[1 - winner].exit_code == kConflictExitCode,
             resent[1 - winner].errors);
  const ctl_result got =
      running->RunCtl({"settings", "get", std::string(kPath)});
  BOOST_TEST(IsDocument(got, 10 + winner), got.output);
  const ctl_result next = SetDocument(*running, 20, {"--revision", "2"});
  BOOST_TEST(next.exit_code == 0, next.output << next.errors);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
