// Nodes whose registrar is cut off from the other control VMs, frozen or lost,
// while most control VMs that they know are gone: an acknowledged change of the
// routing table is in force in time.
#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "support/gone_vm.h"
#include "support/platform_connection.h"
#include "support/platform_fleet.h"
#include "support/platform_version_probe.h"
#include "support/platform_version_watch.h"
#include "support/wait_until.h"

namespace hornbeam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = version_watch::clock;
using role = platform_fleet::role;

constexpr std::size_t kServices = 1;
constexpr milliseconds kCutTime{5000};
constexpr milliseconds kSlowStep{40};
// From the heal of one cut to the next one.
constexpr milliseconds kPause{2000};
constexpr milliseconds kChangeDelay{900};
constexpr seconds kStartLimit{20};
constexpr seconds kOrderLimit{4};

// What happens to a control VM in place of the loss of its links.
enum class disturbance : std::uint8_t {
  kCut,         // Its links to the others are silent.
  kCutFrom,     // Only those that it opened.
  kCutTo,       // Only those that the others opened.
  kReset,       // Its links to the others are reset.
  kCutFromAll,  // Its links to nodes are silent, too.
  kResetToAll,  // Its links to nodes are reset, too.
  kFrozen,
  kSlow,  // It runs a fifth of the time.
};

unsigned CutBits(disturbance what) {
  switch (what) {
    case disturbance::kCut:
      return kCutLinksTo | kCutLinksFrom;
    case disturbance::kCutFrom:
      return kCutLinksFrom;
    case disturbance::kCutTo:
      return kCutLinksTo;
    case disturbance::kReset:
      return kCutLinksTo | kCutLinksFrom | kCutResets;
    case disturbance::kCutFromAll:
      return kCutLinksTo | kCutLinksFrom | kCutNodes;
    case disturbance::kResetToAll:
      return kCutLinksTo | kCutLinksFrom | kCutNodes | kCutResets;
    case disturbance::kFrozen:
    case disturbance::kSlow:
      return 0;
  }
  return 0;
}

struct trial_options {
  fleet_options fleet;
  // Stand at the gone addresses in turn.
  std::vector<gone_vm::kind> gone;
};

// Nodes without upstreams: whether they know a route shows without any.
class cut_trial {
 public:
  explicit cut_trial(const trial_options& options) : fleet_(options.fleet) {
    for (std::size_t i = 0;
         !options.gone.empty() && i < options.fleet.gone_control_vms; ++i) {
      gone_.push_back(
          std::make_unique<gone_vm>(options.gone[i % options.gone.size()],
                                    fleet_.GoneHost(i), fleet_.PeersPort()));
    }
    fleet_.Start();
  }

  platform_fleet& Fleet() { return fleet_; }
  version_watch& Watch() { return watch_; }

  // Waits until all nodes have the first version, and begins to probe them.
  bool Begin() {
    if (!Change(AllControlVms(), kStartLimit)) return false;
    for (std::size_t i = 0; i < fleet_.Nodes(); ++i)
      if (!WaitUntil([&] { return HasTable(i); }, kStartLimit)) return false;
    std::this_thread::sleep_for(version_watch::kInTouch);
    watch_.Start();
    return true;
  }

  // Disturbs the control VMs at `victims` and has changes acknowledged by the
  // others meanwhile, before and after `during`.
  void Disturb(
      const std::vector<std::size_t>& victims, disturbance what,
      const std::function<void()>& during = [] {}) {
    watch_.DisturbControl();
    const auto started = clock::now();
    std::vector<std::thread> suspended;
    for (const std::size_t victim : victims) {
      if (what == disturbance::kFrozen) {
        suspended.emplace_back([this, victim] {
          fleet_.Suspend({role::kControl, victim}, kCutTime);
        });
      } else if (what == disturbance::kSlow) {
        suspended.emplace_back([this, victim, started] {
          while (clock::now() - started < kCutTime) {
            fleet_.Suspend({role::kControl, victim}, 4 * kSlowStep);
            std::this_thread::sleep_for(kSlowStep);
          }
        });
      } else {
        fleet_.Cuts().Cut(victim, CutBits(what));
      }
    }
    std::this_thread::sleep_for(kChangeDelay);
    ChangeWithout(victims);
    during();
    ChangeWithout(victims);
    std::this_thread::sleep_until(started + kCutTime);
    for (const std::size_t victim : victims) fleet_.Cuts().Heal(victim);
    for (std::thread& each : suspended) each.join();
    watch_.DisturbControl();
    std::this_thread::sleep_for(kPause);
  }

  [[nodiscard]] std::vector<std::size_t> AllControlVms() {
    return fleet_.RunningControlVms();
  }
  [[nodiscard]] std::size_t Unacknowledged() const { return unacknowledged_; }
  // Returns how often a control VM has logged that it is isolated.
  [[nodiscard]] std::size_t Isolations(std::size_t control) {
    constexpr std::string_view kLine = "name=control_isolated isolated=true";
    const std::string log = fleet_.Log({role::kControl, control});
    std::size_t count = 0;
    for (auto at = log.find(kLine); at != std::string::npos;
         at = log.find(kLine, at + kLine.size())) {
      ++count;
    }
    return count;
  }

 private:
  [[nodiscard]] bool HasTable(std::size_t node) const {
    platform_connection caller(fleet_.Callers(node));
    caller.SetTimeLimit(milliseconds(1000));
    // Without a table it says that it is not ready.
    return caller
               .Call("GET", "/none/x",
                     "Host: none.example\r\nX-Request-Id: n\r\n"
                     "X-Deadline-Ms: 200\r\n")
               .status == 404;
  }

  // Has a change acknowledged by a control VM that is not in `victims`.
  void ChangeWithout(const std::vector<std::size_t>& victims) {
    std::vector<std::size_t> others = AllControlVms();
    std::erase_if(others, [&victims](std::size_t each) {
      return std::ranges::find(victims, each) != victims.end();
    });
    if (!Change(others, kOrderLimit)) ++unacknowledged_;
  }

  bool Change(const std::vector<std::size_t>& at, milliseconds limit) {
    const int version = version_ + 1;
    const std::string table =
        version_record::Table(version, version_, kServices);
    std::size_t tries = 0;
    const auto sends = [&] {
      platform_connection control(fleet_.Operators(at[tries++ % at.size()]));
      control.SetTimeLimit(milliseconds(1000));
      return control
                 .Call("POST", "/hornbeamlb/Config.Replace",
                       "Host: control\r\nContent-Type: application/json\r\n",
                       table)
                 .status == 200;
    };
    if (!WaitUntil(sends, limit)) return false;
    version_ = version;
    watch_.Acknowledge(version);
    return true;
  }

  std::vector<std::unique_ptr<gone_vm>> gone_;
  platform_fleet fleet_;
  version_watch watch_{fleet_};
  int version_ = 0;
  std::size_t unacknowledged_ = 0;
};

void Check(cut_trial& trial) {
  version_watch& watch = trial.Watch();
  BOOST_TEST_MESSAGE(watch.ProbesInTouch()
                     << " probes at nodes in touch, latest old version "
                     << watch.Latest().count()
                     << " ms after an acknowledgement");
  BOOST_TEST(watch.ProbesInTouch() > 0U);
  BOOST_TEST(watch.Stale() == 0U);
  for (const std::string& each : watch.Failures()) BOOST_ERROR(each);
  BOOST_TEST(trial.Unacknowledged() == 0U);
  for (const std::string& each : trial.Fleet().TakeUnexpectedEnds())
    BOOST_ERROR("ended by itself: " + each);
}

const std::vector<gone_vm::kind> kUnreachable = {gone_vm::kind::kUnreachable};
const std::vector<gone_vm::kind> kAnyGone = {
    gone_vm::kind::kUnreachable, gone_vm::kind::kSilent,
    gone_vm::kind::kUnreachable, gone_vm::kind::kClosing};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_cut_process_test)

// Guards against nodes that try gone control VMs one after the other, and so
// keep an outdated table for seconds after their registrar was cut off
// (review/8 with seven exchanges).
BOOST_AUTO_TEST_CASE(change_is_in_force_although_many_control_vms_are_gone) {
  cut_trial trial({.fleet = {.gone_control_vms = 7}, .gone = kUnreachable});
  BOOST_REQUIRE(trial.Begin());
  for (const std::size_t victim : {0, 1, 2}) {
    const std::size_t isolations = trial.Isolations(victim);
    trial.Disturb({victim}, disturbance::kCut);
    // Otherwise the cut has not worked.
    BOOST_TEST(trial.Isolations(victim) > isolations);
  }
  Check(trial);
}

// Guards against the same for cuts in one direction, resets, and control VMs
// that nodes do not reach either.
BOOST_AUTO_TEST_CASE(change_is_in_force_for_every_kind_of_cut) {
  cut_trial trial({.fleet = {.gone_control_vms = 8}, .gone = kAnyGone});
  BOOST_REQUIRE(trial.Begin());
  std::size_t victim = 0;
  for (const disturbance what :
       {disturbance::kCutFrom, disturbance::kCutTo, disturbance::kReset,
        disturbance::kCutFromAll, disturbance::kResetToAll,
        disturbance::kFrozen, disturbance::kSlow}) {
    trial.Disturb({victim}, what);
    victim = (victim + 1) % 3;
  }
  Check(trial);
}

// Guards against nodes that know control VMs of their zone only, which are
// lost at the same time, and against a node that starts meanwhile with an
// outdated table, or is cut off itself for a moment.
BOOST_AUTO_TEST_CASE(change_is_in_force_without_all_control_vms_of_a_zone) {
  constexpr std::size_t kControlVms = 5;
  cut_trial trial({.fleet = {.control_vms = kControlVms,
                             .tolerated_losses = 2,
                             .gone_control_vms = 4},
                   .gone = kAnyGone});
  BOOST_REQUIRE(trial.Begin());
  trial.Disturb({0, 3}, disturbance::kCut, [&trial] {
    trial.Watch().DisturbNode(0);
    trial.Fleet().Restart({role::kNode, 0}, SIGKILL, milliseconds(0));
    trial.Watch().DisturbNode(0);
  });
  trial.Disturb({1, 4}, disturbance::kFrozen, [&trial] {
    // All nodes lose their connections to control VMs at the same time.
    for (std::size_t node = 0; node < trial.Fleet().Nodes(); ++node)
      trial.Watch().DisturbNode(node);
    for (const unsigned bits : {kCutNodes | kCutResets, 0})
      for (std::size_t control = 0; control < kControlVms; ++control) {
        trial.Fleet().Cuts().Cut(control, bits);
        std::this_thread::sleep_for(milliseconds(20));
      }
  });
  trial.Disturb({2}, disturbance::kCutFromAll);
  Check(trial);
}

// Guards against the same when control VMs are exchanged during the cut: a new
// one joins, and then one of the two that are not cut off leaves.
BOOST_AUTO_TEST_CASE(change_is_in_force_while_an_exchange_overlaps_a_cut) {
  cut_trial trial({.fleet = {.gone_control_vms = 4}, .gone = kAnyGone});
  BOOST_REQUIRE(trial.Begin());
  for (const disturbance what : {disturbance::kCut, disturbance::kReset}) {
    const auto old = trial.AllControlVms();
    trial.Disturb({old[0]}, what, [&trial] {
      trial.Fleet().AddControlVm();
      trial.Watch().DisturbControl();
    });
    trial.Disturb({old[1]}, what, [&trial, &old] {
      trial.Fleet().Remove({role::kControl, old[2]}, SIGTERM);
      trial.Watch().DisturbControl();
    });
    std::this_thread::sleep_for(kPause);
  }
  Check(trial);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
