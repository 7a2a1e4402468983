// Links of a control VM to the others while control VMs are exchanged.
#include "controllers/replica_mesh.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <span>
#include <string>
#include <thread>

#include "base/system_clock_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "support/scripted_control_vm.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(2);
constexpr duration kWaitLimit = std::chrono::seconds(10);

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_mesh_test)

// Guards against a control VM that has used up its links after many exchanges
// and never connects to the newest one.
BOOST_AUTO_TEST_CASE(newest_control_vm_is_reached_after_many_exchanges) {
  std::thread([] {
    io_loop loop;
    const system_clock_source clock;
    fiber_group fibers;
    scripted_control_vm answering(std::nullopt);
    const auto listener =
        frame_listener::MakeFrameListener(loop, {"127.0.0.1", 0}, clock);
    BOOST_REQUIRE(listener);
    listener->Start(answering, fibers);
    const std::array configured = {endpoint{"127.0.0.1", 1},
                                   endpoint{"127.0.0.1", 2}};
    replica_mesh mesh(loop, clock, {"self", 1}, configured[0], configured);
    mesh.Start(fibers);
    for (int i = 0; i < 200; ++i) {
      const std::array members = {configured[0].ToString(),
                                  "127.0.0.2:" + std::to_string(i + 1)};
      mesh.SetPeers(members);
      if (i % 10 == 0) io_loop::SleepFor(kPollInterval);
    }
    const std::array members = {configured[0].ToString(),
                                listener->Address().ToString()};
    mesh.SetPeers(members);
    // The configured one and the newest one.
    BOOST_TEST(mesh.KnownPeers() == 2U);
    const time_point started = clock.Now();
    while (mesh.ConnectedPeers() == 0 && clock.Now() - started < kWaitLimit)
      io_loop::SleepFor(kPollInterval);
    BOOST_TEST(mesh.ConnectedPeers() == 1U);
    // A list without one that is connected may be an old one.
    mesh.SetPeers(std::span(members).first(1));
    BOOST_TEST(mesh.ConnectedPeers() == 1U);
    mesh.Stop();
    listener->Stop();
    BOOST_TEST(fibers.WaitEmpty(clock.Now() + kWaitLimit));
  }).join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
