// Tests of calls between two nodes while connections fail.
#include "wire/call_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "support/call_rig.h"

namespace hornbeam {

namespace {

// Runs `body` with a fixture on a separate thread.
template <class Body>
void WithRig(Body body) {
  std::thread thread([&body] {
    io_loop loop;
    call_rig rig(loop);
    body(rig);
  });
  thread.join();
}

// Behaves like a VM without power: SYN packets are dropped, because the accept
// queue is always full.
class unresponsive_peer {
 public:
  explicit unresponsive_peer(io_loop& loop)
      : acceptor_(loop.context(), {boost::asio::ip::address_v4::loopback(), 0}),
        queued_(loop.context()),
        late_(loop.context()) {
    acceptor_.listen(0);
    queued_.connect(acceptor_.local_endpoint());
    late_.async_connect(acceptor_.local_endpoint(), [](auto) {});
  }
  [[nodiscard]] endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket queued_;
  boost::asio::ip::tcp::socket late_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(call_link_test)

BOOST_AUTO_TEST_CASE(answers_that_come_out_of_order_reach_their_own_call) {
  WithRig([](call_rig& rig) {
    rig.HoldCalls("/slow");
    call_result slow;
    rig.StartCall("/slow", slow);
    BOOST_TEST(rig.WaitFor([&] { return rig.service.runs == 1; }));
    BOOST_TEST(rig.Call("/fast").body == "/fast");
    rig.released = true;
    BOOST_TEST(rig.WaitFor([&slow] { return !slow.body.empty(); }));
    BOOST_TEST(slow.body == "/slow");
  });
}

BOOST_AUTO_TEST_CASE(
    a_silent_connection_loses_no_answer_and_runs_nothing_twice) {
  WithRig([](call_rig& rig) {
    rig.HoldCalls("/filing");
    call_result ended;
    rig.StartCall("/filing", ended);
    BOOST_TEST(rig.WaitFor([&rig] { return rig.service.runs == 1; }));
    rig.relay->SilenceOpenConnections();
    rig.released = true;
    BOOST_TEST(rig.WaitFor([&ended] { return !ended.body.empty(); }));
    BOOST_TEST((ended.end.fate == outcome::kAnswered));
    BOOST_TEST(rig.service.runs == 1);
  });
}

BOOST_AUTO_TEST_CASE(a_call_that_never_arrived_is_fenced_and_told_not_run) {
  WithRig([](call_rig& rig) {
    BOOST_TEST(rig.Call("/first").body == "/first");
    rig.relay->SilenceOpenConnections();
    const call_result lost = rig.Call("/lost");
    BOOST_TEST((lost.end.fate == outcome::kNotRun));
    BOOST_TEST((lost.end.reason == end_reason::kFenced));
    BOOST_TEST(rig.Call("/next").body == "/next");
    BOOST_TEST(!rig.service.started.contains("/lost"));
  });
}

BOOST_AUTO_TEST_CASE(a_restarted_server_cannot_say_that_a_call_did_not_run) {
  WithRig([](call_rig& rig) {
    rig.HoldCalls("/filing");
    call_result ended;
    ended.end.reason = end_reason::kQueueFull;
    rig.StartCall("/filing", ended);
    BOOST_TEST(rig.WaitFor([&rig] { return rig.service.runs == 1; }));
    rig.RestartServer();
    BOOST_TEST(rig.WaitFor(
        [&ended] { return ended.end.reason != end_reason::kQueueFull; }));
    BOOST_TEST((ended.end.fate == outcome::kUnknown));
    rig.released = true;
    BOOST_TEST(rig.service.runs == 1);
  });
}

BOOST_AUTO_TEST_CASE(a_call_meant_for_a_former_incarnation_is_refused) {
  WithRig([](call_rig& rig) {
    rig.RestartServer();
    const call_result ended = rig.Call("/late");
    BOOST_TEST((ended.end.fate == outcome::kNotRun));
    BOOST_TEST(rig.service.runs == 0);
  });
}

BOOST_AUTO_TEST_CASE(a_long_answer_does_not_delay_a_short_one) {
  WithRig([](call_rig& rig) {
    constexpr std::size_t kLongBytes = 50UL * 1024 * 1024;
    constexpr std::size_t kBegun = 1024UL * 1024;
    rig.service.answer_body = [](const inbound_call& call) {
      const bool is_long = call.start.target == "/history";
      return is_long ? std::string(kLongBytes, 'h') : call.start.target;
    };
    rig.HoldCalls("/lookup");
    call_result history;
    call_result lookup;
    rig.StartCall("/lookup", lookup);
    BOOST_TEST(rig.WaitFor([&rig] { return rig.service.runs == 1; }));
    rig.StartCall("/history", history);
    BOOST_TEST(
        rig.WaitFor([&rig] { return rig.relay->BytesPassed() > kBegun; }));
    rig.released = true;
    BOOST_TEST(rig.WaitFor([&lookup] { return !lookup.body.empty(); }));
    // The long answer is still incomplete when the short one arrives.
    BOOST_TEST(history.body.empty());
    BOOST_TEST(rig.WaitFor([&history] { return !history.body.empty(); }));
    BOOST_TEST(history.body.size() == kLongBytes);
  });
}

BOOST_AUTO_TEST_CASE(a_body_of_several_chunks_arrives_whole) {
  WithRig([](call_rig& rig) {
    std::string body(300000, 'a');
    body.back() = 'z';
    rig.service.answer_body = [](const inbound_call& call) {
      return call.body;
    };
    BOOST_TEST((rig.Call("/filing", body).body == body));
  });
}

BOOST_AUTO_TEST_CASE(an_idempotent_call_leaves_an_unresponsive_server) {
  WithRig([](call_rig& rig) {
    BOOST_TEST(rig.Call("/first").body == "/first");
    rig.relay->SetCut(true);
    const call_result ended = rig.Call("/lookup");
    BOOST_TEST((ended.end.fate == outcome::kUnknown));
    // This reason shows that the call completed before its deadline.
    BOOST_TEST((ended.end.reason == end_reason::kNoUpstream));
  });
}

// Guards against calls that each make their own attempt to connect, one after
// the other. The waits, a second each, then add up.
BOOST_AUTO_TEST_CASE(calls_that_wait_for_one_connection_fail_with_it) {
  std::thread thread([] {
    io_loop loop;
    const unresponsive_peer peer(loop);
    system_clock_source clock;
    null_event_log log;
    fiber_group fibers;
    call_link link(loop, clock, log, {"ingress", 1}, peer.Address(),
                   connection_purpose::kShortCalls, {});
    link.Start(fibers);
    fiber_group calls;
    int not_run = 0;
    const time_point started = clock.Now();
    for (std::uint64_t id = 1; id <= 5; ++id) {
      calls.Start([&, id] {
        cancel_source never;
        const call_start start{.id = {.high = 1, .low = id}};
        const auto ended =
            link.Call(start, {}, started + std::chrono::seconds(20), never);
        if (ended.end.fate == outcome::kNotRun && !ended.sent) ++not_run;
      });
    }
    calls.WaitEmpty(started + std::chrono::seconds(20));
    BOOST_TEST(not_run == 5);
    BOOST_TEST((clock.Now() - started < kPeerConnectTimeout * 3));
    link.Stop();
    fibers.WaitEmpty(clock.Now() + std::chrono::seconds(5));
  });
  thread.join();
}

BOOST_AUTO_TEST_CASE(nothing_sent_is_not_run) {
  WithRig([](call_rig& rig) {
    rig.relay = nullptr;
    const call_result ended = rig.Call("/filing");
    BOOST_TEST((ended.end.fate == outcome::kNotRun));
    BOOST_TEST(!ended.sent);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
