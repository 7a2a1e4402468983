// Tests that each operation runs at most once and that each verdict is correct,
// under lost messages, restarts and resends.
#include "ledger/claim_coordinator.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/ledger_simulation.h"

namespace hornbeam {

namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr std::uint64_t kScenarios = 20'000;
constexpr std::uint64_t kMaxNesting = 3;

bool Is(const operation_verdict& verdict, outcome call_outcome,
        verdict_reason reason = verdict_reason::kNone) {
  return verdict.call_outcome == call_outcome && verdict.reason == reason;
}

struct simulation_fixture {
  ledger_simulation simulation{kSeed};
};

// Runs one operation with random faults and further copies at every step of
// every copy, and checks each verdict when it is returned.
class random_scenario {
 public:
  explicit random_scenario(std::uint64_t seed)
      : simulation_(seed), random_(seed) {
    simulation_.guard_options.max_terminated = 1 + random_.NextBelow(3);
    for (const char* node : {"node-a", "node-b", "node-c"}) {
      simulation_.Restart(node);
    }
    simulation_.interleave = [this] { InjectEvent(); };
  }

  // Runs the scenario and returns the violated property, or an empty string.
  std::string Run() {
    SendCopy();
    for (int copy = 0; copy < 3; ++copy) {
      SendCopy();
      if (random_.NextBelow(2) == 0) simulation_.DeliverDelayed();
    }
    simulation_.DeliverDelayed();
    CheckNotRunGuarantee();
    Expect(simulation_.runs <= 1, "more than one run");
    const bool listed = simulation_.Unresolved().operations.size() == 1;
    Expect(simulation_.runs == 0 || listed || simulation_.HasRecordedAnswer(),
           "a run without an answer or an unresolved record");
    return violation_;
  }

 private:
  void SendCopy() {
    CheckNotRunGuarantee();
    DrawFaults();
    const std::uint64_t number = ++copies_;
    const operation_verdict verdict = simulation_.Send(number > 1);
    const bool latest = number == copies_;
    if (verdict.call_outcome == outcome::kNotRun && latest) {
      Expect(simulation_.runs == 0,
             "\"not run\" was reported, but the operation ran");
      not_run_copy_ = number;
    }
    if (verdict.call_outcome != outcome::kAnswered) return;
    Expect(simulation_.runs == 1, "an answer, but not exactly one run");
    if (verdict.to_record && random_.NextBelow(4) != 0) {
      simulation_.coordinator.Record(*verdict.to_record);
    }
  }

  // After "not run" the operation may run only for a copy that is sent later.
  void CheckNotRunGuarantee() {
    Expect(not_run_copy_ != copies_ || simulation_.runs == 0,
           "the operation ran after \"not run\" was reported");
  }

  void DrawFaults() {
    if (random_.NextBelow(2) == 0) {
      simulation_.ledger_faults.push_back(
          static_cast<ledger_fault>(random_.NextBelow(4)));
    }
    simulation_.dispatch_faults.push_back(
        static_cast<dispatch_fault>(random_.NextBelow(6)));
  }

  void InjectEvent() {
    if (nesting_ >= kMaxNesting) return;
    ++nesting_;
    switch (random_.NextBelow(12)) {
      case 0:
        SendCopy();
        break;
      case 1:
        simulation_.Restart(random_.NextBelow(2) == 0 ? "node-a" : "node-b");
        break;
      case 2:
        simulation_.DeliverDelayed();
        break;
      case 3:
        simulation_.clock.Advance(std::chrono::milliseconds(150));
        break;
      case 4:
        simulation_.EvictRecords();
        break;
      default:
        break;
    }
    --nesting_;
  }

  void Expect(bool holds, const char* what) {
    if (!holds && violation_.empty()) violation_ = what;
  }

  ledger_simulation simulation_;
  seeded_random_source random_;
  std::uint64_t copies_ = 0;
  std::optional<std::uint64_t> not_run_copy_;  // Last copy with "not run".
  std::uint64_t nesting_ = 0;
  std::string violation_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(claim_coordinator_test, simulation_fixture)

BOOST_AUTO_TEST_CASE(resend_gets_recorded_answer) {
  BOOST_TEST(Is(simulation.SendAndRecord(), outcome::kAnswered));
  const auto again = simulation.Send(true);
  BOOST_TEST(Is(again, outcome::kAnswered));
  BOOST_TEST(again.answer.body == "recorded");
  BOOST_TEST(!again.to_record.has_value());
  simulation.request.request_digest = {3, 4};
  BOOST_TEST(Is(simulation.Send(true), outcome::kNotRun,
                verdict_reason::kBodyMismatch));
  BOOST_TEST(simulation.runs == 1U);
}

BOOST_AUTO_TEST_CASE(rejected_attempt_is_retried_and_last_rejection_frees_key) {
  simulation.dispatch_faults = {dispatch_fault::kShed,
                                dispatch_fault::kConnectRefused};
  BOOST_TEST(Is(simulation.Send(), outcome::kAnswered));
  ledger_simulation rejected(kSeed);
  rejected.dispatch_faults = {dispatch_fault::kShed, dispatch_fault::kShed,
                              dispatch_fault::kShed};
  BOOST_TEST(Is(rejected.Send(), outcome::kNotRun, verdict_reason::kNoTarget));
  BOOST_TEST(rejected.runs == 0U);
  BOOST_TEST(Is(rejected.Send(true), outcome::kAnswered));
  BOOST_TEST(rejected.runs == 1U);
}

// The command may be applied although its reply is lost. If the repeated claim
// counted as a second one, the operation could run twice.
BOOST_AUTO_TEST_CASE(lost_claim_reply_does_not_cause_second_claim) {
  simulation.ledger_faults = {ledger_fault::kReplyLost};
  BOOST_TEST(Is(simulation.SendAndRecord(), outcome::kAnswered));
  ledger_simulation delayed(kSeed);
  delayed.ledger_faults = {ledger_fault::kCommandDelayed};
  BOOST_TEST(Is(delayed.SendAndRecord(), outcome::kAnswered));
  delayed.DeliverDelayed();
  BOOST_TEST(Is(delayed.Send(true), outcome::kAnswered));
  BOOST_TEST(delayed.runs == 1U);
}

// A resend must not be reported as "not run" without the ledger, since an
// earlier copy may have run.
BOOST_AUTO_TEST_CASE(without_ledger_only_first_copy_is_reported_not_run) {
  simulation.ledger_faults = {ledger_fault::kRejected, ledger_fault::kRejected};
  BOOST_TEST(Is(simulation.Send(), outcome::kNotRun,
                verdict_reason::kLedgerUnreachable));
  BOOST_TEST(Is(simulation.Send(true), outcome::kUnknown,
                verdict_reason::kLedgerUnreachable));
  BOOST_TEST(simulation.runs == 0U);
}

BOOST_AUTO_TEST_CASE(claim_without_any_reply_has_unknown_outcome) {
  simulation.ledger_faults.assign(8, ledger_fault::kCommandDelayed);
  BOOST_TEST(Is(simulation.Send(), outcome::kUnknown,
                verdict_reason::kLedgerReplyLost));
  simulation.ledger_faults.clear();
  simulation.DeliverDelayed();
  BOOST_TEST(simulation.Unresolved().operations.size() == 1U);
  BOOST_TEST(Is(simulation.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(simulation.runs == 1U);
}

BOOST_AUTO_TEST_CASE(attempt_of_failed_ingress_is_fenced_by_resend) {
  // The dispatch is delayed until after the resend, as if the ingress had
  // failed between the claim and the dispatch.
  simulation.dispatch_faults = {dispatch_fault::kDispatchDelayed};
  bool resent = false;
  simulation.interleave = [&] {
    if (std::exchange(resent, true)) return;
    BOOST_TEST(Is(simulation.SendAndRecord(true), outcome::kAnswered));
  };
  simulation.Send();
  simulation.DeliverDelayed();
  BOOST_TEST(simulation.runs == 1U);
}

// The new incarnation of the node has no records. It cannot prove that the
// operation did not run, so no resend may run it again.
BOOST_AUTO_TEST_CASE(operation_of_restarted_node_stays_unresolved) {
  simulation.dispatch_faults = {dispatch_fault::kAnswerLost};
  simulation.interleave = [&] {
    if (simulation.runs == 1) simulation.Restart("node-a");
  };
  BOOST_TEST(
      Is(simulation.Send(), outcome::kUnknown, verdict_reason::kUnresolved));
  for (int resend = 0; resend < 3; ++resend) {
    BOOST_TEST(Is(simulation.Send(true), outcome::kUnknown,
                  verdict_reason::kUnresolved));
  }
  BOOST_TEST(simulation.runs == 1U);
  BOOST_TEST(simulation.Unresolved().operations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(lost_answer_is_fetched_from_serving_node) {
  simulation.dispatch_faults = {dispatch_fault::kAnswerLost};
  const auto verdict = simulation.Send();
  BOOST_TEST(Is(verdict, outcome::kAnswered));
  BOOST_TEST(verdict.to_record.has_value());
  // The ingress fails before it records the answer.
  BOOST_TEST(Is(simulation.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(simulation.Unresolved().operations.empty());
  BOOST_TEST(simulation.runs == 1U);
}

BOOST_AUTO_TEST_CASE(attempt_at_unreachable_node_is_resolved_when_reachable) {
  simulation.dispatch_faults = {dispatch_fault::kAnswerLost};
  simulation.unreachable = {"node-a"};
  BOOST_TEST(
      Is(simulation.Send(), outcome::kUnknown, verdict_reason::kInProgress));
  BOOST_TEST(Is(simulation.Send(true), outcome::kUnknown,
                verdict_reason::kInProgress));
  BOOST_TEST(simulation.Unresolved().operations.size() == 1U);
  simulation.unreachable.clear();
  BOOST_TEST(Is(simulation.SendAndRecord(true), outcome::kAnswered));
  BOOST_TEST(simulation.runs == 1U);
}

BOOST_AUTO_TEST_CASE(large_answer_is_fetched_from_node_while_retained) {
  simulation.answer.body.assign(1'000, 'x');
  BOOST_TEST(Is(simulation.SendAndRecord(), outcome::kAnswered));
  const auto again = simulation.Send(true);
  BOOST_TEST(Is(again, outcome::kAnswered));
  BOOST_TEST(again.answer.body == simulation.answer.body);
  simulation.clock.Advance(simulation.guard_options.answer_retention);
  BOOST_TEST(Is(simulation.Send(true), outcome::kUnknown,
                verdict_reason::kAnswerNotRetained));
  BOOST_TEST(simulation.runs == 1U);
}

// Guards against an answer that an earlier version of an ingress recorded
// although HTTP does not allow it.
BOOST_AUTO_TEST_CASE(recorded_answer_with_an_invalid_head_is_not_returned) {
  const std::vector<operation_answer> broken = {
      {.status = 0, .body = "a"},
      {.status = 99, .body = "a"},
      {.status = 101, .body = "a"},
      {.status = 600, .body = "a"},
      {.status = 200, .headers = {{"X Odd", "1"}}, .body = "a"},
      {.status = 200, .headers = {{"X-Odd", "1\r\n2"}}, .body = "a"}};
  for (const operation_answer& answer : broken) {
    ledger_simulation recorded(kSeed);
    recorded.answer = answer;
    recorded.SendAndRecord();
    const auto again = recorded.Send(true);
    BOOST_TEST(Is(again, outcome::kUnknown, verdict_reason::kAnswerMalformed));
    BOOST_TEST(again.answer.body.empty());
    BOOST_TEST(recorded.runs == 1U);
  }
}

BOOST_AUTO_TEST_CASE(resend_without_target_queries_ledger_first) {
  BOOST_TEST(Is(simulation.SendAndRecord(), outcome::kAnswered));
  simulation.has_targets = false;
  BOOST_TEST(Is(simulation.Send(true), outcome::kAnswered));
  ledger_simulation fresh(kSeed);
  fresh.has_targets = false;
  BOOST_TEST(Is(fresh.Send(true), outcome::kNotRun, verdict_reason::kNoTarget));
}

BOOST_AUTO_TEST_CASE(random_faults_and_copies_preserve_at_most_once) {
  for (std::uint64_t seed = kSeed; seed < kSeed + kScenarios; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_REQUIRE_EQUAL(random_scenario(seed).Run(), "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
