// Tests of the instance server: announcements of the upstream, admission of
// calls and the outcomes that it reports.
#include "controllers/instance_server.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <thread>

#include "base/system_clock_source.h"
#include "platform/platform_codec_impl.h"
#include "support/call_fixture.h"
#include "support/scripted_upstream.h"

namespace hornbeam {

namespace {

using std::chrono::seconds;

constexpr auto kDefaultWaitLimit = seconds(20);

time_point Limit() { return system_clock_source().Now() + kDefaultWaitLimit; }

std::string SignedResponse(
    const std::string& head, const std::string& status,
    const std::string& more = "X-Response-Signature: s\r\n") {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: " + GetHeadField(head, "X-Request-Id") + "\r\n" +
         more + "Content-Length: 2\r\n\r\nok";
}

// An instance server with an upstream whose answers are scripted.
class server_fixture {
 public:
  server_fixture(io_loop& io, scripted_upstream::answer_maker script)
      : loop(io),
        upstream(loop, fibers, std::move(script)),
        server(loop, clock, log, {"n1", 7}, codec, {.service = "s"}) {
    server.Start(fibers, [this](const instance_announcement&, bool draining) {
      drained = draining;
    });
  }

  void Stop() {
    server.Stop();
    upstream.Stop();
    fibers.WaitEmpty(Limit());
  }

  instance_announcement Announcement(const std::string& instance,
                                     std::int64_t started,
                                     std::uint64_t sequence) {
    return {.instance = instance,
            .started_at_ms = started,
            .sequence = sequence,
            .service = "s",
            .address = "127.0.0.1:" + std::to_string(upstream.Port()),
            .slots = 18};
  }

  served_call Call(const std::string& instance,
                   duration time_limit = seconds(2)) {
    return CallAs(std::to_string(last_id + 1), instance, time_limit);
  }

  // Sends a call whose caller chose the request id `caller_id`.
  served_call CallAs(const std::string& caller_id, const std::string& instance,
                     duration time_limit = seconds(2)) {
    inbound_call call{.start = {.id = {.high = 1, .low = ++last_id},
                                .service = "s",
                                .method = "POST",
                                .target = "/a/1",
                                .headers = {{"X-Request-Id", caller_id}},
                                .incarnation = 7,
                                .instance = instance,
                                .route = "a",
                                .objective_us = 1'000'000,
                                .wait_percent = 60,
                                .no_alternative = true},
                      .ingress = "n2",
                      .deadline = clock.Now() + time_limit};
    return server.Serve(call);
  }

  io_loop& loop;
  system_clock_source clock;
  null_event_log log;
  platform::platform_codec_impl codec;
  fiber_group fibers;
  scripted_upstream upstream;
  instance_server server;
  bool drained = false;
  std::uint64_t last_id = 0;
};

template <class Body>
void RunWith(scripted_upstream::answer_maker script, Body body) {
  std::thread thread([&] {
    io_loop loop;
    server_fixture fixture(loop, std::move(script));
    body(fixture);
    fixture.Stop();
  });
  thread.join();
}

scripted_upstream::answer_maker Always(
    const std::string& status,
    const std::string& more = "X-Response-Signature: s\r\n") {
  return [status, more](const std::string& head) {
    return SignedResponse(head, status, more);
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(instance_server_test)

BOOST_AUTO_TEST_CASE(call_for_another_incarnation_is_not_run) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kNoUpstream));
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
    const served_call other = fixture.Call("i-0");
    BOOST_TEST((other.end.call_outcome == outcome::kNotRun));
    BOOST_TEST((other.end.reason == end_reason::kWrongIncarnation));
  });
}

BOOST_AUTO_TEST_CASE(draining_upstream_gets_no_new_calls) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    auto drain_notice = fixture.Announcement("i-1", 100, 2);
    drain_notice.draining = true;
    fixture.server.Announce(drain_notice);
    BOOST_TEST(fixture.drained);
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kDraining));
    // A stale announcement does not end the drain.
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kDraining));
  });
}

BOOST_AUTO_TEST_CASE(stale_announcement_of_earlier_incarnation_is_ignored) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-2", 200, 1));
    fixture.server.Announce(fixture.Announcement("i-1", 100, 9));
    fixture.server.Withdraw({.instance = "i-1", .started_at_ms = 100});
    BOOST_TEST((fixture.Call("i-2").end.call_outcome == outcome::kAnswered));
  });
}

// Guards against a late announcement of an earlier incarnation with the same id
// that puts a leaving upstream back in service.
BOOST_AUTO_TEST_CASE(late_announcement_with_same_id_does_not_end_a_leave) {
  const auto healthy =
      Always("200 OK", "X-Response-Signature: s\r\nX-Instance-Id: i-1\r\n");
  RunWith(healthy, [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    fixture.server.Announce(fixture.Announcement("i-1", 200, 1));
    // The health check names the instance that answers.
    io_loop::SleepFor(std::chrono::milliseconds(600));
    fixture.server.Withdraw({.instance = "i-1", .started_at_ms = 200});
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kDraining));
    fixture.server.Announce(fixture.Announcement("i-1", 100, 9));
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kDraining));
    fixture.server.Announce(fixture.Announcement("i-1", 200, 9));
    BOOST_TEST((fixture.Call("i-1").end.reason == end_reason::kDraining));
    fixture.server.Announce(fixture.Announcement("i-1", 300, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
  });
}

// Guards against a node that was restarted and acknowledged the leave of an
// upstream that it did not know yet.
BOOST_AUTO_TEST_CASE(late_announcement_after_the_leave_of_an_unknown_upstream) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    fixture.server.Withdraw({.instance = "i-1", .started_at_ms = 200});
    fixture.server.Announce(fixture.Announcement("i-1", 200, 9));
    fixture.server.Announce(fixture.Announcement("i-1", 100, 9));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kNotRun));
    fixture.server.Announce(fixture.Announcement("i-1", 300, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
  });
}

// After a restart of the node alone the upstream's next announcement may be a
// second away, so the node finds the upstream by its health check.
// Guards against an odd announcement of another writer that replaces the
// upstream, after which the node follows nothing.
BOOST_AUTO_TEST_CASE(announcement_that_names_no_usable_upstream_is_rejected) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    const auto odd = [&fixture](auto change) {
      auto announced = fixture.Announcement("i-odd", 200, 1);
      change(announced);
      return announced;
    };
    const std::vector<instance_announcement> all = {
        odd([](auto& each) { each.instance.clear(); }),
        odd([](auto& each) { each.instance = std::string(1 << 20, 'a'); }),
        odd([](auto& each) { each.service = "unknown"; }),
        odd([](auto& each) { each.service = std::string(1 << 20, 'a'); }),
        odd([](auto& each) { each.address = "127.0.0.1:0"; }),
        odd([](auto& each) { each.address = "127.0.0.1:70000"; }),
        odd([](auto& each) { each.address = "127.0.0.1"; }),
    };
    for (const instance_announcement& announced : all) {
      BOOST_TEST(fixture.server.RejectionReason(announced).has_value());
      fixture.server.Announce(announced);
    }
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
    const auto replacement = fixture.Announcement("i-2", 300, 1);
    BOOST_TEST(!fixture.server.RejectionReason(replacement).has_value());
    fixture.server.Announce(replacement);
    BOOST_TEST((fixture.Call("i-2").end.call_outcome == outcome::kAnswered));
  });
}

// Guards against an announcement with a start time in the future: the upstream
// that answers at the address would be taken for an earlier incarnation.
BOOST_AUTO_TEST_CASE(upstream_that_answers_replaces_one_that_does_not) {
  const auto script = [](const std::string& head) {
    return SignedResponse(head, "200 OK",
                          "X-Response-Signature: s\r\nX-Instance-Id: i-1\r\n");
  };
  RunWith(script, [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    fixture.server.Announce(fixture.Announcement("i-odd", 90'000'000, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kNotRun));
    // The health check names the instance that answers.
    io_loop::SleepFor(std::chrono::milliseconds(600));
    fixture.server.Announce(fixture.Announcement("i-1", 100, 2));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
  });
}

BOOST_AUTO_TEST_CASE(running_upstream_is_found_by_health_check) {
  const auto healthy =
      Always("200 OK", "X-Instance-Id: i-1\r\nX-Instance-Load: 0,0,18,100\r\n");
  RunWith(healthy, [](server_fixture& fixture) {
    instance_server restarted(
        fixture.loop, fixture.clock, fixture.log, {"n1", 8}, fixture.codec,
        {.upstream = endpoint{"127.0.0.1", fixture.upstream.Port()},
         .service = "s"});
    std::vector<std::string> notified;
    restarted.Start(fixture.fibers,
                    [&](const instance_announcement& announced, bool) {
                      notified.push_back(announced.instance);
                    });
    const time_point limit = Limit();
    while (restarted.Service().empty() && fixture.clock.Now() < limit) {
      io_loop::SleepFor(std::chrono::milliseconds(5));
    }
    BOOST_TEST(restarted.Service() == "s");
    BOOST_TEST((notified == std::vector<std::string>{"i-1"}));
    // The first announcement of the found upstream does not replace it.
    restarted.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST(notified.size() == 1U);
    instance_announcement drain_notice = fixture.Announcement("i-1", 100, 2);
    drain_notice.draining = true;
    restarted.Announce(drain_notice);
    BOOST_TEST(notified.size() == 2U);
    restarted.Stop();
  });
}

BOOST_AUTO_TEST_CASE(restart_with_same_instance_id_resets_sequence) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    auto drain_notice = fixture.Announcement("i-1", 100, 50);
    drain_notice.draining = true;
    fixture.server.Announce(drain_notice);
    fixture.server.Announce(fixture.Announcement("i-1", 300, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
  });
}

BOOST_AUTO_TEST_CASE(rejection_by_upstream_means_not_run) {
  RunWith(
      Always("503 Busy", "X-Not-Executed: 1\r\n"), [](server_fixture& fixture) {
        fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
        const served_call rejected = fixture.Call("i-1");
        BOOST_TEST((rejected.end.call_outcome == outcome::kNotRun));
        BOOST_TEST((rejected.end.reason == end_reason::kRejectedByUpstream));
      });
}

// Guards against a refusal that an upstream wrote for an earlier dispatch of
// the same request and writes once more while it runs the request: "not run"
// would be false, and the request would run a second time elsewhere.
BOOST_AUTO_TEST_CASE(repeated_refusal_of_same_request_is_not_believed) {
  std::set<int> refused_on;
  int ran = 0;
  const scripted_upstream* upstream = nullptr;
  const auto script = [&](const std::string& head) {
    if (!head.starts_with("POST")) return SignedResponse(head, "200 OK");
    std::string refusal =
        SignedResponse(head, "503 Busy", "X-Not-Executed: 1\r\n");
    if (refused_on.empty()) {
      refused_on.insert(upstream->CurrentConnection());
      return refusal;
    }
    ++ran;
    const bool repeats = refused_on.contains(upstream->CurrentConnection());
    return repeats ? refusal : SignedResponse(head, "200 OK");
  };
  RunWith(script, [&](server_fixture& fixture) {
    upstream = &fixture.upstream;
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST(
        (fixture.CallAs("c", "i-1").end.call_outcome == outcome::kNotRun));
    const served_call again = fixture.CallAs("c", "i-1");
    BOOST_TEST(ran == 1);
    BOOST_TEST((again.end.call_outcome == outcome::kAnswered));
  });
}

// Guards against a refusal that arrives once more while another request waits
// for its answer on the same connection.
BOOST_AUTO_TEST_CASE(repeated_refusal_of_earlier_request_is_skipped) {
  std::string earlier;
  const auto script = [&](const std::string& head) {
    if (!head.starts_with("POST")) return SignedResponse(head, "200 OK");
    if (earlier.empty()) {
      earlier = SignedResponse(head, "503 Busy", "X-Not-Executed: 1\r\n");
      return earlier;
    }
    return earlier + SignedResponse(head, "200 OK");
  };
  RunWith(script, [&](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kNotRun));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kAnswered));
  });
}

// A refusal that does not echo the request's id proves nothing about it.
BOOST_AUTO_TEST_CASE(refusal_without_or_with_foreign_id_is_unknown) {
  for (const std::string id : {"", "X-Request-Id: other\r\n"}) {
    const auto script = [&](const std::string&) {
      return "HTTP/1.1 503 Busy\r\n" + id +
             "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    };
    RunWith(script, [](server_fixture& fixture) {
      fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
      const served_call refused =
          fixture.Call("i-1", std::chrono::milliseconds(300));
      BOOST_TEST((refused.end.call_outcome == outcome::kUnknown));
    });
  }
}

BOOST_AUTO_TEST_CASE(server_error_of_upstream_is_returned_as_answer) {
  RunWith(Always("500 Oops"), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    const served_call failed = fixture.Call("i-1");
    BOOST_TEST((failed.end.call_outcome == outcome::kAnswered));
    BOOST_TEST(failed.end.status == 500U);
  });
}

// A success without the upstream's signature may come from another program, and
// a call whose answer is lost may have run, so neither proves an outcome.
BOOST_AUTO_TEST_CASE(unsigned_success_and_lost_answer_have_unknown_outcome) {
  RunWith(Always("200 OK", ""), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kUnknown));
  });
  RunWith(
      [](const std::string&) { return std::string(); },
      [](server_fixture& fixture) {
        fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
        BOOST_TEST((fixture.Call("i-1").end.call_outcome == outcome::kUnknown));
      });
}

// Guards against bytes that are no answer and yet prove that a call did not
// run, count as a success, or tell the upstream's load, in calls and in health
// checks.
BOOST_AUTO_TEST_CASE(status_that_http_does_not_define_is_no_answer) {
  constexpr std::uint32_t kClaimedPercent = 500;
  const std::string claims =
      "X-Response-Signature: s\r\nX-Instance-Load: 0,0,18,500\r\n";
  for (const std::string status : {"000 OK", "099 OK", "600 Odd", "999 Odd"}) {
    for (const std::string proof : {"", "X-Not-Executed: 1\r\n"}) {
      RunWith(Always(status, claims + proof), [&](server_fixture& fixture) {
        fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
        while (fixture.upstream.Heads().empty())
          io_loop::SleepFor(std::chrono::milliseconds(5));
        const served_call served = fixture.Call("i-1");
        BOOST_TEST((served.end.call_outcome == outcome::kUnknown), status);
        BOOST_TEST((served.end.reason == end_reason::kUpstreamLost), status);
        BOOST_TEST(served.end.load.failure_per_mille > 0U, status);
        BOOST_TEST(served.end.load.slowdown_percent != kClaimedPercent, status);
      });
    }
  }
}

// An encoded body is not passed on. The head is the upstream's, so its
// rejection holds.
BOOST_AUTO_TEST_CASE(encoded_answer_is_lost_and_encoded_rejection_is_not_run) {
  const std::string encoded =
      "X-Response-Signature: s\r\nContent-Encoding: gzip\r\n";
  for (const std::string status : {"200 OK", "500 Oops"}) {
    RunWith(Always(status, encoded), [](server_fixture& fixture) {
      fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
      const served_call served = fixture.Call("i-1");
      BOOST_TEST((served.end.call_outcome == outcome::kUnknown));
      BOOST_TEST(served.body.empty());
      BOOST_TEST(served.end.load.failure_per_mille > 0U);
    });
  }
  RunWith(Always("503 Busy", encoded + "X-Not-Executed: 1\r\n"),
          [](server_fixture& fixture) {
            fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
            const served_call served = fixture.Call("i-1");
            BOOST_TEST((served.end.call_outcome == outcome::kNotRun));
          });
}

BOOST_AUTO_TEST_CASE(call_to_unreachable_upstream_is_not_run) {
  RunWith(Always("200 OK"), [](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    fixture.upstream.Stop();
    const served_call unreached = fixture.Call("i-1");
    BOOST_TEST((unreached.end.call_outcome == outcome::kNotRun));
  });
}

BOOST_AUTO_TEST_CASE(calls_wait_for_end_of_transient_slowdown) {
  int health_checks = 0;
  const auto script = [&health_checks](const std::string& head) {
    const bool is_health_check = head.starts_with("GET /health");
    if (is_health_check) ++health_checks;
    const std::string load = health_checks <= 3 ? "0,0,18,500" : "0,0,18,100";
    return SignedResponse(
        head, "200 OK",
        "X-Response-Signature: s\r\nX-Instance-Load: " + load + "\r\n");
  };
  RunWith(script, [&health_checks](server_fixture& fixture) {
    fixture.server.Announce(fixture.Announcement("i-1", 100, 1));
    // The first health check shows that the upstream reports its load.
    while (health_checks == 0) io_loop::SleepFor(std::chrono::milliseconds(5));
    io_loop::SleepFor(std::chrono::milliseconds(20));
    const served_call served = fixture.Call("i-1");
    BOOST_TEST((served.end.call_outcome == outcome::kAnswered));
    BOOST_TEST(health_checks >= 4);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
