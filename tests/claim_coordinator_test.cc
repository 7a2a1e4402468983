// Tests that each operation runs at most once and that each verdict is correct,
// under lost messages, restarts and resends.
#include "ledger/claim_coordinator.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/ledger_world.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr std::uint64_t kScenarios = 20'000;
constexpr std::uint64_t kMaxNesting = 3;

bool Is(const operation_verdict& verdict, outcome fate,
        verdict_reason reason = verdict_reason::kNone) {
  return verdict.fate == fate && verdict.reason == reason;
}

struct world_fixture {
  ledger_world world{kSeed};
};

// Runs one operation with random faults and further copies at every step of
// every copy, and checks each verdict when it is returned.
class random_scenario {
 public:
  explicit random_scenario(std::uint64_t seed) : world_(seed), dice_(seed) {
    world_.guard_options.max_ended = 1 + dice_.NextBelow(3);
    for (const char* node : {"node-a", "node-b", "node-c"}) {
      world_.Restart(node);
    }
    world_.interleave = [this] { Disturb(); };
  }

  // Runs the scenario and returns the violated property, or an empty string.
  std::string Run() {
    SendCopy();
    for (int copy = 0; copy < 3; ++copy) {
      SendCopy();
      if (dice_.NextBelow(2) == 0) world_.DeliverLate();
    }
    world_.DeliverLate();
    CheckPromise();
    Require(world_.runs <= 1, "more than one run");
    const bool listed = world_.Unresolved().operations.size() == 1;
    Require(world_.runs == 0 || listed || world_.HasRecordedAnswer(),
            "a run without an answer or an unresolved record");
    return violation_;
  }

 private:
  void SendCopy() {
    CheckPromise();
    DrawFaults();
    const std::uint64_t number = ++copies_;
    const operation_verdict verdict = world_.Send(number > 1);
    const bool latest = number == copies_;
    if (verdict.fate == outcome::kNotRun && latest) {
      Require(world_.runs == 0,
              "\"not run\" was reported, but the operation ran");
      promised_to_ = number;
    }
    if (verdict.fate != outcome::kAnswered) return;
    Require(world_.runs == 1, "an answer, but not exactly one run");
    if (verdict.to_record && dice_.NextBelow(4) != 0) {
      world_.coordinator.Record(*verdict.to_record);
    }
  }

  // After "not run" the operation may run only for a copy that is sent later.
  void CheckPromise() {
    Require(promised_to_ != copies_ || world_.runs == 0,
            "the operation ran after \"not run\" was reported");
  }

  void DrawFaults() {
    if (dice_.NextBelow(2) == 0) {
      world_.ledger_faults.push_back(
          static_cast<ledger_fault>(dice_.NextBelow(4)));
    }
    world_.dispatch_faults.push_back(
        static_cast<dispatch_fault>(dice_.NextBelow(6)));
  }

  void Disturb() {
    if (nesting_ >= kMaxNesting) return;
    ++nesting_;
    switch (dice_.NextBelow(12)) {
      case 0:
        SendCopy();
        break;
      case 1:
        world_.Restart(dice_.NextBelow(2) == 0 ? "node-a" : "node-b");
        break;
      case 2:
        world_.DeliverLate();
        break;
      case 3:
        world_.clock.Advance(std::chrono::milliseconds(150));
        break;
      case 4:
        world_.Crowd();
        break;
      default:
        break;
    }
    --nesting_;
  }

  void Require(bool holds, const char* what) {
    if (!holds && violation_.empty()) violation_ = what;
  }

  ledger_world world_;
  seeded_random_source dice_;
  std::uint64_t copies_ = 0;
  std::optional<std::uint64_t> promised_to_;  // Last copy with "not run".
  std::uint64_t nesting_ = 0;
  std::string violation_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claim_coordinator_test, world_fixture)

BOOST_AUTO_TEST_CASE(a_resend_gets_the_recorded_answer) {
  BOOST_TEST(Is(world.SendAndRecord(), outcome::kAnswered));
  const auto again = world.Send(true);
  BOOST_TEST(Is(again, outcome::kAnswered));
  BOOST_TEST(again.answer.body == "recorded");
  BOOST_TEST(!again.to_record.has_value());
  world.request.request_digest = {3, 4};
  BOOST_TEST(
      Is(world.Send(true), outcome::kNotRun, verdict_reason::kBodyMismatch));
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(a_refusal_goes_elsewhere_and_the_last_one_frees_the_key) {
  world.dispatch_faults = {dispatch_fault::kShed,
                           dispatch_fault::kConnectRefused};
  BOOST_TEST(Is(world.Send(), outcome::kAnswered));
  ledger_world refused(kSeed);
  refused.dispatch_faults = {dispatch_fault::kShed, dispatch_fault::kShed,
                             dispatch_fault::kShed};
  BOOST_TEST(Is(refused.Send(), outcome::kNotRun, verdict_reason::kNoTarget));
  BOOST_TEST(refused.runs == 0U);
  BOOST_TEST(Is(refused.Send(true), outcome::kAnswered));
  BOOST_TEST(refused.runs == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_claim_reply_is_no_second_claim) {
  world.ledger_faults = {ledger_fault::kReplyLost};
  BOOST_TEST(Is(world.SendAndRecord(), outcome::kAnswered));
  ledger_world late(kSeed);
  late.ledger_faults = {ledger_fault::kLateCommand};
  BOOST_TEST(Is(late.SendAndRecord(), outcome::kAnswered));
  late.DeliverLate();
  BOOST_TEST(Is(late.Send(true), outcome::kAnswered));
  BOOST_TEST(late.runs == 1U);
}

BOOST_AUTO_TEST_CASE(without_a_ledger_only_a_first_copy_is_not_run) {
  world.ledger_faults = {ledger_fault::kRefused, ledger_fault::kRefused};
  BOOST_TEST(
      Is(world.Send(), outcome::kNotRun, verdict_reason::kLedgerUnreachable));
  BOOST_TEST(Is(world.Send(true), outcome::kUnknown,
                verdict_reason::kLedgerUnreachable));
  BOOST_TEST(world.runs == 0U);
}

BOOST_AUTO_TEST_CASE(an_unsure_claim_is_unknown) {
  world.ledger_faults.assign(8, ledger_fault::kLateCommand);
  BOOST_TEST(
      Is(world.Send(), outcome::kUnknown, verdict_reason::kLedgerUnsure));
  world.ledger_faults.clear();
  world.DeliverLate();
  BOOST_TEST(world.Unresolved().operations.size() == 1U);
  BOOST_TEST(Is(world.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(an_ingress_that_died_before_its_dispatch_is_fenced) {
  // The dispatch is delayed until after the resend, as if the ingress had
  // failed between the claim and the dispatch.
  world.dispatch_faults = {dispatch_fault::kLateDispatch};
  bool resent = false;
  world.interleave = [&] {
    if (std::exchange(resent, true)) return;
    BOOST_TEST(Is(world.SendAndRecord(true), outcome::kAnswered));
  };
  world.Send();
  world.DeliverLate();
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_serving_node_leaves_the_unknown_listed) {
  world.dispatch_faults = {dispatch_fault::kAnswerLost};
  world.interleave = [&] {
    if (world.runs == 1) world.Restart("node-a");
  };
  BOOST_TEST(Is(world.Send(), outcome::kUnknown, verdict_reason::kUnresolved));
  for (int resend = 0; resend < 3; ++resend) {
    BOOST_TEST(
        Is(world.Send(true), outcome::kUnknown, verdict_reason::kUnresolved));
  }
  BOOST_TEST(world.runs == 1U);
  BOOST_TEST(world.Unresolved().operations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_fetched_from_its_serving_node) {
  world.dispatch_faults = {dispatch_fault::kAnswerLost};
  const auto verdict = world.Send();
  BOOST_TEST(Is(verdict, outcome::kAnswered));
  BOOST_TEST(verdict.to_record.has_value());
  // The ingress fails before it records the answer.
  BOOST_TEST(Is(world.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(world.Unresolved().operations.empty());
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_node_is_in_progress_and_settled_later) {
  world.dispatch_faults = {dispatch_fault::kAnswerLost};
  world.unreachable = {"node-a"};
  BOOST_TEST(Is(world.Send(), outcome::kUnknown, verdict_reason::kInProgress));
  BOOST_TEST(
      Is(world.Send(true), outcome::kUnknown, verdict_reason::kInProgress));
  BOOST_TEST(world.Unresolved().operations.size() == 1U);
  world.unreachable.clear();
  BOOST_TEST(Is(world.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(a_large_answer_comes_from_its_node_while_it_is_kept) {
  world.answer_body.assign(1'000, 'x');
  BOOST_TEST(Is(world.SendAndRecord(), outcome::kAnswered));
  const auto again = world.Send(true);
  BOOST_TEST(Is(again, outcome::kAnswered));
  BOOST_TEST(again.answer.body == world.answer_body);
  world.clock.Advance(world.guard_options.answer_time);
  BOOST_TEST(
      Is(world.Send(true), outcome::kUnknown, verdict_reason::kAnswerNotKept));
  BOOST_TEST(world.runs == 1U);
}

BOOST_AUTO_TEST_CASE(without_a_target_a_resend_asks_the_ledger_first) {
  BOOST_TEST(Is(world.SendAndRecord(), outcome::kAnswered));
  world.has_targets = false;
  BOOST_TEST(Is(world.Send(true), outcome::kAnswered));
  ledger_world fresh(kSeed);
  fresh.has_targets = false;
  BOOST_TEST(Is(fresh.Send(true), outcome::kNotRun, verdict_reason::kNoTarget));
}

BOOST_AUTO_TEST_CASE(no_order_of_faults_and_copies_runs_twice_or_lies) {
  for (std::uint64_t seed = kSeed; seed < kSeed + kScenarios; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_REQUIRE_EQUAL(random_scenario(seed).Run(), "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
