// Tests of calls between two nodes while connections fail.
#include "wire/call_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "support/call_fixture.h"

namespace hornbeam {

namespace {

// Size of an answer that is sent in several chunks.
constexpr std::size_t kBodyBytes = std::size_t{300} << 10U;

// Runs `body` with a fixture on a separate thread.
template <class Body>
void WithFixture(Body body, const call_server_options& options = {}) {
  std::thread thread([&body, &options] {
    io_loop loop;
    call_fixture fixture(loop, options);
    body(fixture);
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
        unaccepted_(loop.context()) {
    acceptor_.listen(0);
    queued_.connect(acceptor_.local_endpoint());
    unaccepted_.async_connect(acceptor_.local_endpoint(), [](auto) {});
  }
  [[nodiscard]] endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket queued_;
  boost::asio::ip::tcp::socket unaccepted_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(call_link_test)

BOOST_AUTO_TEST_CASE(out_of_order_answers_reach_their_own_calls) {
  WithFixture([](call_fixture& fixture) {
    fixture.HoldCalls("/slow");
    call_result slow;
    fixture.StartCall("/slow", slow);
    BOOST_TEST(fixture.WaitFor([&] { return fixture.service.runs == 1; }));
    BOOST_TEST(fixture.Call("/fast").body == "/fast");
    fixture.released = true;
    BOOST_TEST(fixture.WaitFor([&slow] { return !slow.body.empty(); }));
    BOOST_TEST(slow.body == "/slow");
  });
}

BOOST_AUTO_TEST_CASE(silent_connection_loses_no_answer_and_runs_no_call_twice) {
  WithFixture([](call_fixture& fixture) {
    fixture.HoldCalls("/filing");
    call_result result;
    fixture.StartCall("/filing", result);
    BOOST_TEST(
        fixture.WaitFor([&fixture] { return fixture.service.runs == 1; }));
    fixture.relay->SilenceOpenConnections();
    fixture.released = true;
    BOOST_TEST(fixture.WaitFor([&result] { return !result.body.empty(); }));
    BOOST_TEST((result.end.call_outcome == outcome::kAnswered));
    BOOST_TEST(fixture.service.runs == 1);
  });
}

BOOST_AUTO_TEST_CASE(lost_call_is_fenced_and_reported_not_run) {
  WithFixture([](call_fixture& fixture) {
    BOOST_TEST(fixture.Call("/first").body == "/first");
    fixture.relay->SilenceOpenConnections();
    const call_result lost = fixture.Call("/lost");
    BOOST_TEST((lost.end.call_outcome == outcome::kNotRun));
    BOOST_TEST((lost.end.reason == end_reason::kFenced));
    BOOST_TEST(fixture.Call("/next").body == "/next");
    BOOST_TEST(!fixture.service.started.contains("/lost"));
  });
}

// Guards against a call that runs twice: its answer was dropped to free memory,
// and a status query was then answered as if it had never arrived.
BOOST_AUTO_TEST_CASE(call_whose_answer_was_dropped_is_not_reported_not_run) {
  WithFixture(
      [](call_fixture& fixture) {
        fixture.service.on_serve = [&fixture](const inbound_call& /*call*/) {
          fixture.WaitFor([&fixture] { return fixture.released; });
        };
        call_result first;
        call_result second;
        fixture.StartCall("/first", first);
        fixture.StartCall("/second", second);
        BOOST_TEST(
            fixture.WaitFor([&fixture] { return fixture.service.runs == 2; }));
        fixture.relay->SilenceOpenConnections();
        fixture.released = true;
        // Only one of the two answers fits.
        BOOST_TEST(fixture.WaitFor([&] {
          return first.end.reason == end_reason::kForgotten &&
                 !second.body.empty();
        }));
        BOOST_TEST((first.end.call_outcome == outcome::kUnknown));
        BOOST_TEST(second.body == "/second");
        BOOST_TEST(fixture.service.runs == 2);
      },
      {.answer_store_bytes = 8});
}

// Guards against a read of an answer that is dropped while it is being sent,
// and against an answer that is dropped before it was sent at all.
BOOST_AUTO_TEST_CASE(answer_above_the_store_limit_is_delivered_or_unknown) {
  constexpr std::size_t kAnswerBytes = std::size_t{8} << 20U;
  WithFixture(
      [](call_fixture& fixture) {
        fixture.service.answer_body = [](const inbound_call& call) {
          return std::string(kAnswerBytes, call.start.target.back());
        };
        BOOST_TEST(fixture.Call("/a").body == std::string(kAnswerBytes, 'a'));
        call_result first;
        call_result second;
        first.end.reason = second.end.reason = end_reason::kQueueFull;
        fixture.StartCall("/b", first);
        fixture.StartCall("/c", second);
        BOOST_TEST(fixture.WaitFor([&] {
          return first.end.reason != end_reason::kQueueFull &&
                 second.end.reason != end_reason::kQueueFull;
        }));
        BOOST_TEST((first.body == std::string(kAnswerBytes, 'b') ||
                    first.end.reason == end_reason::kForgotten));
        BOOST_TEST((second.body == std::string(kAnswerBytes, 'c')));
      },
      {.answer_store_bytes = 1});
}

// Guards against the proof of an ingress that stood still: the serving node may
// no longer know a call after its deadline.
BOOST_AUTO_TEST_CASE(proof_that_arrives_after_the_deadline_is_not_taken) {
  WithFixture([](call_fixture& fixture) {
    BOOST_TEST(fixture.Call("/first").body == "/first");
    fixture.relay->SilenceOpenConnections();
    // The connection is replaced 200 ms after the last byte.
    const call_result late =
        fixture.Call("/late", "", std::chrono::milliseconds(100));
    BOOST_TEST((late.end.call_outcome == outcome::kUnknown));
    BOOST_TEST((late.end.reason == end_reason::kDeadlinePassed));
  });
}

BOOST_AUTO_TEST_CASE(server_rejects_calls_rather_than_forget_one_that_ran) {
  WithFixture(
      [](call_fixture& fixture) {
        fixture.HoldCalls("/filing");
        call_result filing;
        fixture.StartCall("/filing", filing);
        BOOST_TEST(
            fixture.WaitFor([&fixture] { return fixture.service.runs == 1; }));
        const call_result rejected = fixture.Call("/next");
        BOOST_TEST((rejected.end.call_outcome == outcome::kNotRun));
        BOOST_TEST((rejected.end.reason == end_reason::kQueueFull));
        fixture.released = true;
        BOOST_TEST(fixture.WaitFor([&filing] { return !filing.body.empty(); }));
        BOOST_TEST(fixture.Call("/later").body == "/later");
      },
      {.record_limit = 1});
}

BOOST_AUTO_TEST_CASE(restarted_server_reports_call_as_unknown) {
  WithFixture([](call_fixture& fixture) {
    fixture.HoldCalls("/filing");
    call_result result;
    result.end.reason = end_reason::kQueueFull;
    fixture.StartCall("/filing", result);
    BOOST_TEST(
        fixture.WaitFor([&fixture] { return fixture.service.runs == 1; }));
    fixture.RestartServer();
    BOOST_TEST(fixture.WaitFor(
        [&result] { return result.end.reason != end_reason::kQueueFull; }));
    BOOST_TEST((result.end.call_outcome == outcome::kUnknown));
    fixture.released = true;
    BOOST_TEST(fixture.service.runs == 1);
  });
}

BOOST_AUTO_TEST_CASE(call_for_previous_incarnation_is_rejected) {
  WithFixture([](call_fixture& fixture) {
    fixture.RestartServer();
    const call_result result = fixture.Call("/late");
    BOOST_TEST((result.end.call_outcome == outcome::kNotRun));
    BOOST_TEST(fixture.service.runs == 0);
  });
}

// Guards against an answer that another node, perhaps of an earlier version,
// took from its upstream although HTTP does not allow it. It may have a body of
// several chunks.
BOOST_AUTO_TEST_CASE(answer_of_a_node_with_an_invalid_head_is_lost) {
  struct broken_head {
    std::uint32_t status;
    std::vector<header_field> fields;
  };
  const std::vector<broken_head> heads = {
      {0, {}},
      {99, {}},
      {100, {}},
      {199, {}},
      {600, {}},
      {1000, {}},
      {200, {{"X Odd", "1"}}},
      {200, {{"A", "1"}, {"X-Odd ", "1"}}},
      {200, {{"X\x01Odd", "1"}}},
      {200, {{"", "1"}}},
      {200, {{"X-Odd", "1\r\nX-More: 2"}}},
      {200, {{"X-Odd", std::string(1, '\0')}}},
  };
  for (const broken_head& head : heads) {
    WithFixture([&head](call_fixture& fixture) {
      fixture.service.answer_status = head.status;
      fixture.service.answer_fields = head.fields;
      fixture.service.answer_body = [](const inbound_call& /*call*/) {
        return std::string(kBodyBytes, 'a');
      };
      const call_result broken = fixture.Call("/broken");
      BOOST_TEST((broken.end.call_outcome == outcome::kUnknown));
      BOOST_TEST((broken.end.reason == end_reason::kUpstreamLost));
      BOOST_TEST(broken.end.headers.empty());
      BOOST_TEST(broken.body.empty());
      // The connection stays in step.
      fixture.service.answer_status = 200;
      fixture.service.answer_fields = {{"X-Valid", "a b"}};
      const call_result next = fixture.Call("/next");
      BOOST_TEST((next.end.call_outcome == outcome::kAnswered));
      BOOST_TEST(next.body.size() == kBodyBytes);
      BOOST_TEST(fixture.service.runs == 2);
    });
  }
}

BOOST_AUTO_TEST_CASE(long_answer_does_not_delay_short_answer) {
  WithFixture([](call_fixture& fixture) {
    constexpr std::size_t kLongBytes = 50UL * 1024 * 1024;
    constexpr std::size_t kMinForwardedBytes = 1024UL * 1024;
    fixture.service.answer_body = [](const inbound_call& call) {
      const bool is_long = call.start.target == "/history";
      return is_long ? std::string(kLongBytes, 'h') : call.start.target;
    };
    fixture.HoldCalls("/lookup");
    call_result history;
    call_result lookup;
    fixture.StartCall("/lookup", lookup);
    BOOST_TEST(
        fixture.WaitFor([&fixture] { return fixture.service.runs == 1; }));
    fixture.StartCall("/history", history);
    BOOST_TEST(fixture.WaitFor([&fixture] {
      return fixture.relay->BytesForwarded() > kMinForwardedBytes;
    }));
    fixture.released = true;
    BOOST_TEST(fixture.WaitFor([&lookup] { return !lookup.body.empty(); }));
    // The long answer is still incomplete when the short one arrives.
    BOOST_TEST(history.body.empty());
    BOOST_TEST(fixture.WaitFor([&history] { return !history.body.empty(); }));
    BOOST_TEST(history.body.size() == kLongBytes);
  });
}

BOOST_AUTO_TEST_CASE(body_of_several_chunks_arrives_complete) {
  WithFixture([](call_fixture& fixture) {
    std::string body(300000, 'a');
    body.back() = 'z';
    fixture.service.answer_body = [](const inbound_call& call) {
      return call.body;
    };
    BOOST_TEST((fixture.Call("/filing", body).body == body));
  });
}

BOOST_AUTO_TEST_CASE(
    idempotent_call_to_unresponsive_server_fails_before_deadline) {
  WithFixture([](call_fixture& fixture) {
    BOOST_TEST(fixture.Call("/first").body == "/first");
    fixture.relay->SetPartitioned(true);
    const call_result result = fixture.Call("/lookup");
    BOOST_TEST((result.end.call_outcome == outcome::kUnknown));
    // This reason shows that the call completed before its deadline.
    BOOST_TEST((result.end.reason == end_reason::kNoUpstream));
  });
}

// Guards against calls that each make their own attempt to connect, one after
// the other. The waits, a second each when this fault occurred, then add up.
BOOST_AUTO_TEST_CASE(calls_waiting_for_same_connection_attempt_fail_together) {
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
        const auto result =
            link.Call(start, {}, started + std::chrono::seconds(20), never);
        if (result.end.call_outcome == outcome::kNotRun && !result.sent)
          ++not_run;
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

BOOST_AUTO_TEST_CASE(unsent_call_is_not_run) {
  WithFixture([](call_fixture& fixture) {
    fixture.relay = nullptr;
    const call_result result = fixture.Call("/filing");
    BOOST_TEST((result.end.call_outcome == outcome::kNotRun));
    BOOST_TEST(!result.sent);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
