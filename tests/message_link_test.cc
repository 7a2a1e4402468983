// A link to a peer that stops sending.
#include "wire/message_link.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

#include "base/system_clock_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "support/scripted_control_vm.h"
#include "wire/frame_listener.h"

namespace hornbeam {

namespace {

constexpr duration kSilenceTimeout = std::chrono::milliseconds(600);
constexpr duration kTolerance = std::chrono::milliseconds(100);
constexpr duration kPollInterval = std::chrono::milliseconds(2);
constexpr duration kWaitLimit = std::chrono::seconds(10);

class event_times final : public link_observer {
 public:
  explicit event_times(const clock_source& clock) : clock_(clock) {}
  void OnLinkUp() override {}
  void OnLinkMessage(message /*content*/) override { last = clock_.Now(); }
  void OnLinkDown() override {
    if (!down) down = clock_.Now();
  }

  std::optional<time_point> last;
  std::optional<time_point> down;

 private:
  const clock_source& clock_;
};

// Returns how long after the peer's last message the link was lost.
duration TimeToNotice(duration last_message) {
  duration noticed{0};
  std::thread([&] {
    io_loop loop;
    const system_clock_source clock;
    fiber_group fibers;
    // Answers hello at once, and then sends one more message after a delay.
    scripted_control_vm peer(std::nullopt, [&](frame_connection& connection,
                                               const message& content) {
      if (!std::holds_alternative<hello>(content)) return;
      fibers.Start([last_message, weak = connection.weak_from_this()] {
        io_loop::SleepFor(last_message);
        if (const auto open = weak.lock())
          open->TrySend(registrar_offer{.is_current = true});
      });
    });
    const auto listener =
        frame_listener::MakeFrameListener(loop, {"127.0.0.1", 0}, clock);
    BOOST_REQUIRE(listener);
    listener->Start(peer, fibers);
    event_times events(clock);
    message_link link(loop, clock, {"self", 1}, listener->Address(),
                      connection_purpose::kControl,
                      {.silence_timeout = kSilenceTimeout}, events);
    link.Start(fibers);
    const time_point started = clock.Now();
    while (!events.down && clock.Now() - started < kWaitLimit)
      io_loop::SleepFor(kPollInterval);
    BOOST_REQUIRE(events.last.has_value());
    BOOST_REQUIRE(events.down.has_value());
    noticed = *events.down - *events.last;
    link.Stop();
    listener->Stop();
    BOOST_TEST(fibers.WaitEmpty(clock.Now() + kWaitLimit));
  }).join();
  return noticed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(message_link_test)

// Guards against a node that notices the silence of its registrar up to a third
// of the timeout late.
BOOST_AUTO_TEST_CASE(silence_is_noticed_when_the_timeout_ends) {
  for (const int last_message_ms : {20, 70, 130, 180}) {
    const duration noticed =
        TimeToNotice(std::chrono::milliseconds(last_message_ms));
    BOOST_TEST(noticed.count() >= kSilenceTimeout.count());
    BOOST_TEST(noticed.count() <= (kSilenceTimeout + kTolerance).count());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
