// The node's authority over its upstream.
#include "controllers/instance_server.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "base/system_clock_source.h"
#include "platform/platform_codec_impl.h"
#include "support/call_rig.h"
#include "support/upstream_script.h"

namespace hornbeam {

namespace {

using std::chrono::seconds;

constexpr auto kGenerousLimit = seconds(20);

time_point Limit() { return system_clock_source().Now() + kGenerousLimit; }

std::string Signed(const std::string& head, const std::string& status,
                   const std::string& more = "X-Response-Signature: s\r\n") {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: " + FieldOf(head, "X-Request-Id") + "\r\n" + more +
         "Content-Length: 2\r\n\r\nok";
}

// One instance server with an upstream that answers by script.
class server_rig {
 public:
  server_rig(io_loop& io, upstream_script::answer_maker script)
      : loop(io),
        upstream(loop, fibers, std::move(script)),
        server(loop, clock, log, {"n1", 7}, codec, {}) {
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

  served_call Call(const std::string& instance, duration length = seconds(2)) {
    inbound_call call{
        .start = {.id = {.high = 1, .low = ++last_id},
                  .service = "s",
                  .method = "POST",
                  .target = "/a/1",
                  .headers = {{"X-Request-Id", std::to_string(last_id)}},
                  .incarnation = 7,
                  .instance = instance,
                  .route = "a",
                  .objective_us = 1'000'000,
                  .wait_percent = 60,
                  .no_alternative = true},
        .ingress = "n2",
        .deadline = clock.Now() + length};
    return server.Serve(call);
  }

  io_loop& loop;
  system_clock_source clock;
  null_event_log log;
  platform::platform_codec_impl codec;
  fiber_group fibers;
  upstream_script upstream;
  instance_server server;
  bool drained = false;
  std::uint64_t last_id = 0;
};

template <class Body>
void RunWith(upstream_script::answer_maker script, Body body) {
  std::thread thread([&] {
    io_loop loop;
    server_rig rig(loop, std::move(script));
    body(rig);
    rig.Stop();
  });
  thread.join();
}

upstream_script::answer_maker Always(
    const std::string& status,
    const std::string& more = "X-Response-Signature: s\r\n") {
  return [status, more](const std::string& head) {
    return Signed(head, status, more);
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(instance_server_test)

BOOST_AUTO_TEST_CASE(only_the_expected_start_gets_the_call) {
  RunWith(Always("200 OK"), [](server_rig& rig) {
    BOOST_TEST((rig.Call("i-1").end.reason == end_reason::kNoUpstream));
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    BOOST_TEST((rig.Call("i-1").end.fate == outcome::kAnswered));
    const served_call other = rig.Call("i-0");
    BOOST_TEST((other.end.fate == outcome::kNotRun));
    BOOST_TEST((other.end.reason == end_reason::kWrongIncarnation));
  });
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_nothing_new) {
  RunWith(Always("200 OK"), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    auto leaving = rig.Announcement("i-1", 100, 2);
    leaving.draining = true;
    rig.server.Announce(leaving);
    BOOST_TEST(rig.drained);
    BOOST_TEST((rig.Call("i-1").end.reason == end_reason::kDraining));
    // A late word does not bring it back.
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    BOOST_TEST((rig.Call("i-1").end.reason == end_reason::kDraining));
  });
}

BOOST_AUTO_TEST_CASE(a_late_word_of_an_earlier_start_changes_nothing) {
  RunWith(Always("200 OK"), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-2", 200, 1));
    rig.server.Announce(rig.Announcement("i-1", 100, 9));
    rig.server.Withdraw({.instance = "i-1", .started_at_ms = 100});
    BOOST_TEST((rig.Call("i-2").end.fate == outcome::kAnswered));
  });
}

// After a restart of the node alone the upstream's next word may be far away.
BOOST_AUTO_TEST_CASE(an_upstream_that_runs_already_is_found) {
  const auto healthy =
      Always("200 OK", "X-Instance-Id: i-1\r\nX-Instance-Load: 0,0,18,100\r\n");
  RunWith(healthy, [](server_rig& rig) {
    instance_server found(
        rig.loop, rig.clock, rig.log, {"n1", 8}, rig.codec,
        {.upstream = endpoint{"127.0.0.1", rig.upstream.Port()},
         .service = "s"});
    std::vector<std::string> told;
    found.Start(rig.fibers, [&](const instance_announcement& said, bool) {
      told.push_back(said.instance);
    });
    const time_point limit = Limit();
    while (found.Service().empty() && rig.clock.Now() < limit) {
      io_loop::SleepFor(std::chrono::milliseconds(5));
    }
    BOOST_TEST(found.Service() == "s");
    BOOST_TEST((told == std::vector<std::string>{"i-1"}));
    // Its own first word changes nothing but what it says.
    found.Announce(rig.Announcement("i-1", 100, 1));
    BOOST_TEST(told.size() == 1U);
    instance_announcement leaving = rig.Announcement("i-1", 100, 2);
    leaving.draining = true;
    found.Announce(leaving);
    BOOST_TEST(told.size() == 2U);
    found.Stop();
  });
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_id_counts_anew) {
  RunWith(Always("200 OK"), [](server_rig& rig) {
    auto leaving = rig.Announcement("i-1", 100, 50);
    leaving.draining = true;
    rig.server.Announce(leaving);
    rig.server.Announce(rig.Announcement("i-1", 300, 1));
    BOOST_TEST((rig.Call("i-1").end.fate == outcome::kAnswered));
  });
}

BOOST_AUTO_TEST_CASE(a_refusal_of_the_upstream_proves_not_run) {
  RunWith(Always("503 Busy", "X-Not-Executed: 1\r\n"), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    const served_call refused = rig.Call("i-1");
    BOOST_TEST((refused.end.fate == outcome::kNotRun));
    BOOST_TEST((refused.end.reason == end_reason::kUpstreamRefused));
  });
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_upstream_is_its_own_answer) {
  RunWith(Always("500 Oops"), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    const served_call failed = rig.Call("i-1");
    BOOST_TEST((failed.end.fate == outcome::kAnswered));
    BOOST_TEST(failed.end.status == 500U);
  });
}

BOOST_AUTO_TEST_CASE(an_unsigned_success_and_a_lost_answer_prove_nothing) {
  RunWith(Always("200 OK", ""), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    BOOST_TEST((rig.Call("i-1").end.fate == outcome::kUnknown));
  });
  RunWith([](const std::string&) { return std::string(); },
          [](server_rig& rig) {
            rig.server.Announce(rig.Announcement("i-1", 100, 1));
            BOOST_TEST((rig.Call("i-1").end.fate == outcome::kUnknown));
          });
}

BOOST_AUTO_TEST_CASE(an_upstream_that_nobody_reaches_did_not_run_it) {
  RunWith(Always("200 OK"), [](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    rig.upstream.Stop();
    const served_call missed = rig.Call("i-1");
    BOOST_TEST((missed.end.fate == outcome::kNotRun));
  });
}

BOOST_AUTO_TEST_CASE(work_waits_for_the_end_of_a_slow_spell) {
  int looks = 0;
  const auto script = [&looks](const std::string& head) {
    const bool is_look = head.starts_with("GET /health");
    if (is_look) ++looks;
    const std::string load = looks <= 3 ? "0,0,18,500" : "0,0,18,100";
    return Signed(
        head, "200 OK",
        "X-Response-Signature: s\r\nX-Instance-Load: " + load + "\r\n");
  };
  RunWith(script, [&looks](server_rig& rig) {
    rig.server.Announce(rig.Announcement("i-1", 100, 1));
    // The first look tells that the upstream states its speed.
    while (looks == 0) io_loop::SleepFor(std::chrono::milliseconds(5));
    io_loop::SleepFor(std::chrono::milliseconds(20));
    const served_call served = rig.Call("i-1");
    BOOST_TEST((served.end.fate == outcome::kAnswered));
    BOOST_TEST(looks >= 4);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
