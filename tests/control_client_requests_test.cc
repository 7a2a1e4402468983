// Requests to the stores while control VMs do not answer.
#include <array>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "support/gone_vm.h"
#include "support/scripted_control_vm.h"
#include "wire/control_client.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(2);
constexpr duration kWaitLimit = std::chrono::seconds(10);

// Answers as a control VM that is not the leader: only requests that it may
// forward.
void AnswerAsFollower(frame_connection& connection, const message& content) {
  const auto* const request = std::get_if<store_request>(&content);
  if (request == nullptr) return;
  connection.TrySend(store_reply{.correlation = request->correlation,
                                 .status = request->may_forward
                                               ? store_status::kDone
                                               : store_status::kNotLeader,
                                 .bytes = request->bytes});
}

class idle_observer final : public control_observer {
 public:
  void OnRegistrarUp() override {}
  void OnRegistrarMessage(message /*content*/) override {}
  void OnRegistrarDown() override {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(control_client_requests_test)

// Guards against requests that try one gone control VM after the other although
// the registrar would forward them.
BOOST_AUTO_TEST_CASE(request_does_not_wait_for_gone_control_vms) {
  std::thread([] {
    constexpr std::size_t kGone = 7;
    io_loop loop;
    const system_clock_source clock;
    fiber_group fibers;
    scripted_control_vm forwarding(true, AnswerAsFollower);
    const auto listener =
        frame_listener::MakeFrameListener(loop, {"127.0.0.1", 0}, clock);
    BOOST_REQUIRE(listener);
    listener->Start(forwarding, fibers);
    std::vector<std::unique_ptr<gone_vm>> gone;
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < kGone; ++i) {
      gone.push_back(std::make_unique<gone_vm>(gone_vm::kind::kUnreachable,
                                               "127.0.0.1", 0));
      addresses.push_back({"127.0.0.1", gone.back()->Port()});
    }
    addresses.push_back(listener->Address());
    idle_observer observer;
    const auto client = control_client::MakeControlClient(
        loop, clock, {"node-1", 1}, addresses, 0, &observer);
    client->Start(fibers);
    const time_point started = clock.Now();
    while (!client->IsRegistered(listener->Address()) &&
           clock.Now() - started < kWaitLimit)
      io_loop::SleepFor(kPollInterval);
    for (const store_id store : {store_id::kSettings, store_id::kLedger}) {
      const time_point sent = clock.Now();
      const auto reply = client->Propose(store, "command", sent + kWaitLimit);
      const duration taken = clock.Now() - sent;
      BOOST_TEST_MESSAGE("ms: " << taken.count() / 1000);
      BOOST_TEST((reply.has_value() && reply.value() == "command"));
      BOOST_TEST((taken < kPeerConnectTimeout));
    }
    client->Stop();
    listener->Stop();
    fibers.WaitEmpty(clock.Now() + kWaitLimit);
  }).join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
