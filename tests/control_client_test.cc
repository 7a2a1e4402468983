// A node's choice among control VMs of which some do not answer.
#include "wire/control_client.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "base/system_clock_source.h"
#include "controllers/control_service.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "wire/frame_codec.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr duration kPollInterval = std::chrono::milliseconds(2);
constexpr duration kWaitLimit = std::chrono::seconds(10);

// Behaves like a suspended VM: its kernel accepts connections and bytes.
class suspended_vm {
 public:
  explicit suspended_vm(io_loop& loop)
      : acceptor_(loop.context(),
                  {boost::asio::ip::address_v4::loopback(), 0}) {}
  [[nodiscard]] endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
};

// A control VM that answers hello and counts the leases that it receives.
class answering_vm final : public frame_handler_factory {
 public:
  std::shared_ptr<frame_handler> MakeFrameHandler() override {
    return std::make_shared<handler>(*this);
  }

  int leases = 0;

 private:
  class handler final : public frame_handler {
   public:
    explicit handler(answering_vm& vm) : vm_(vm) {}
    void OnMessage(frame_connection& connection, message content) override {
      if (std::holds_alternative<hello>(content)) {
        connection.TrySend(hello{.protocol_version = kProtocolVersion});
      }
      if (std::holds_alternative<lease_renewal>(content)) ++vm_.leases;
    }
    void OnClosed(frame_connection& /*connection*/) override {}

   private:
    answering_vm& vm_;
  };
};

// Renews a lease with each new registrar.
class lease_sender final : public control_observer {
 public:
  void OnRegistrarUp() override { client->SendToRegistrar(lease_renewal{}); }
  void OnRegistrarMessage(message /*content*/) override {}
  void OnRegistrarDown() override {}

  control_client* client = nullptr;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(control_client_test)

// Guards against a node that keeps an outdated table because a suspended
// control VM counts as connected.
BOOST_AUTO_TEST_CASE(suspended_control_vms_are_passed_over) {
  std::thread([] {
    io_loop loop;
    const system_clock_source clock;
    fiber_group fibers;
    answering_vm answering;
    const suspended_vm first(loop);
    const suspended_vm second(loop);
    const auto listener =
        frame_listener::MakeFrameListener(loop, {"127.0.0.1", 0}, clock);
    BOOST_REQUIRE(listener);
    listener->Start(answering, fibers);
    lease_sender sender;
    const std::array addresses = {first.Address(), second.Address(),
                                  listener->Address()};
    const auto client = control_client::MakeControlClient(
        loop, clock, {"node-1", 1}, addresses, 0, &sender);
    sender.client = client.get();
    const time_point started = clock.Now();
    client->Start(fibers);
    while (answering.leases == 0 && clock.Now() - started < kWaitLimit) {
      io_loop::SleepFor(kPollInterval);
    }
    const duration taken = clock.Now() - started;
    BOOST_TEST_MESSAGE("ms: " << taken.count() / 1000);
    BOOST_TEST(answering.leases > 0);
    // One failed connect more than the move that kRegistrarMoveTime allows for.
    BOOST_TEST((taken < kRegistrarMoveTime + kPeerConnectTimeout));
    client->Stop();
    listener->Stop();
    fibers.WaitEmpty(clock.Now() + kWaitLimit);
  }).join();
}

// Guards against a request above the limit of one message, which ended the
// process that sent it.
BOOST_AUTO_TEST_CASE(request_too_large_for_a_message_is_rejected) {
  std::thread([] {
    io_loop loop;
    const system_clock_source clock;
    fiber_group fibers;
    answering_vm answering;
    const auto listener =
        frame_listener::MakeFrameListener(loop, {"127.0.0.1", 0}, clock);
    BOOST_REQUIRE(listener);
    listener->Start(answering, fibers);
    const std::array addresses = {listener->Address()};
    const auto client = control_client::MakeControlClient(
        loop, clock, {"node-1", 1}, addresses, 0, nullptr);
    client->Start(fibers);
    const std::string command(kMaxFrameBytes, 'c');
    for (const store_id store :
         {store_id::kSettings, store_id::kLedger, store_id::kRouting}) {
      const auto reply =
          client->Propose(store, command, clock.Now() + kWaitLimit);
      BOOST_TEST(
          (reply.has_error() && reply.error() == store_error::kRejected));
    }
    client->Stop();
    listener->Stop();
    fibers.WaitEmpty(clock.Now() + kWaitLimit);
  }).join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
