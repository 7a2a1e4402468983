// Requests to the leader of a store while leaders are lost and elected.
#include "controllers/leader_client.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

#include "base/system_clock_source.h"
#include "controllers/replica_mesh.h"
#include "controllers/replica_status.h"
#include "controllers/store_forwarder.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

constexpr duration kElection = std::chrono::milliseconds(300);
constexpr duration kPatience = std::chrono::milliseconds(900);
constexpr duration kAtOnce = std::chrono::milliseconds(100);
constexpr duration kLongAgo = std::chrono::seconds(10);

// A replica whose status and replies the test sets.
class scripted_replica final : public replica_host {
 public:
  void Propose(std::string command, time_point /*deadline*/,
               replica_callback done) override {
    proposed.push_back(command);
    done(reply ? reply() : replica_reply(command));
  }
  void Query(std::string query, time_point /*deadline*/,
             replica_callback done) override {
    done(replica_reply(query));
  }
  [[nodiscard]] std::string QueryStale(
      std::string_view /*query*/) const override {
    return {};
  }
  void OnMessage(std::string_view /*from*/,
                 std::string_view /*bytes*/) override {}
  void Tick(time_point /*now*/) override {}
  void BeginLeave() override {}
  [[nodiscard]] replica_status Status() const override { return status; }

  void Lead() {
    status.role = replica_role::kLeader;
    status.leader = "self";
  }
  void LoseLeader() {
    status.role = replica_role::kPreCandidate;
    status.leader.clear();
  }

  replica_status status;
  std::function<replica_reply()> reply;
  std::vector<std::string> proposed;
};

// A client of a replica that is connected to no other one.
struct client_fixture {
  explicit client_fixture(io_loop& loop)
      : mesh(loop, clock, {"self", 1}, {"127.0.0.1", 1}, {}),
        forwarder(clock, mesh),
        client(clock, replica, forwarder, {}) {
    replica.status.current_as_of = clock.Now();
  }

  // Runs `change` after a time that an election takes.
  void AfterElection(std::function<void()> change) {
    fibers.Start([change = std::move(change)] {
      io_loop::SleepFor(kElection);
      change();
    });
  }
  result<std::string, replica_error> Propose() {
    return client.Propose("change", clock.Now() + kPatience);
  }

  system_clock_source clock;
  fiber_group fibers;
  scripted_replica replica;
  replica_mesh mesh;
  store_forwarder forwarder;
  leader_client client;
};

void WithFixture(const std::function<void(client_fixture&)>& body) {
  std::thread([&body] {
    io_loop loop;
    client_fixture fixture(loop);
    body(fixture);
    fixture.fibers.WaitEmpty(fixture.clock.Now() + kLongAgo);
  }).join();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leader_client_test)

// Guards against a change that is refused although its group has a leader a
// moment later.
BOOST_AUTO_TEST_CASE(request_waits_for_an_election) {
  WithFixture([](client_fixture& fixture) {
    fixture.AfterElection([&fixture] { fixture.replica.Lead(); });
    const auto reply = fixture.Propose();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply.value() == "change");
  });
}

BOOST_AUTO_TEST_CASE(request_whose_leader_is_lost_is_repeated) {
  WithFixture([](client_fixture& fixture) {
    scripted_replica& replica = fixture.replica;
    replica.Lead();
    replica.reply = [&replica]() -> replica_reply {
      replica.LoseLeader();
      return replica_error::kReplaced;
    };
    fixture.AfterElection([&replica] {
      replica.reply = nullptr;
      replica.Lead();
    });
    BOOST_TEST(fixture.Propose().has_value());
    BOOST_TEST(replica.proposed.size() == 2U);
  });
}

// What cannot be served is rejected at once.
BOOST_AUTO_TEST_CASE(request_at_a_replica_that_is_cut_off_does_not_wait) {
  WithFixture([](client_fixture& fixture) {
    fixture.replica.status.current_as_of = fixture.clock.Now() - kLongAgo;
    const time_point started = fixture.clock.Now();
    const auto reply = fixture.Propose();
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error() == replica_error::kNoQuorum));
    BOOST_TEST((fixture.clock.Now() - started < kAtOnce));
  });
}

BOOST_AUTO_TEST_CASE(request_without_a_leader_ends_at_its_deadline) {
  WithFixture([](client_fixture& fixture) {
    // A leader is known, but not connected.
    fixture.replica.status.leader = "127.0.0.2:1";
    const time_point started = fixture.clock.Now();
    BOOST_TEST(!fixture.Propose().has_value());
    BOOST_TEST((fixture.clock.Now() - started < kPatience + kAtOnce));
  });
}

BOOST_AUTO_TEST_CASE(overloaded_leader_is_not_asked_again) {
  WithFixture([](client_fixture& fixture) {
    fixture.replica.Lead();
    fixture.replica.reply = []() -> replica_reply {
      return replica_error::kOverloaded;
    };
    BOOST_TEST(!fixture.Propose().has_value());
    BOOST_TEST(fixture.replica.proposed.size() == 1U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
