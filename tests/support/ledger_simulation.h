// Simulation of ingress nodes, serving nodes and a ledger, for tests of
// at-most-once execution.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/seeded_random_source.h"
#include "base/store_client.h"
#include "hornbeam/clock_source.h"
#include "ledger/attempt_dispatcher.h"
#include "ledger/attempt_guard.h"
#include "ledger/claim_coordinator.h"
#include "ledger/operation_ledger.h"

namespace hornbeam {

// A clock that advances only by Advance().
class manual_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const override;
  [[nodiscard]] wall_time_point WallNow() const override;
  void Advance(duration length) { elapsed_ += length; }

 private:
  duration elapsed_ = std::chrono::seconds(1'800'000'000);
};

// Fault injected into one message to the ledger.
enum class ledger_fault : std::uint8_t {
  kNone,
  kReplyLost,       // The command is applied; the proposer gets no reply.
  kCommandDelayed,  // No reply; the command is applied by DeliverDelayed().
  kRejected,        // The command is not accepted.
};

// Fault injected into one dispatch.
enum class dispatch_fault : std::uint8_t {
  kNone,
  kShed,             // The serving node rejects the call.
  kAnswerLost,       // The call runs; the ingress gets no reply.
  kUpstreamLost,     // The call runs; the connection to the upstream breaks.
  kDispatchDelayed,  // DeliverDelayed() delivers the call.
  kConnectRefused    // The call is never sent.
};

// Runs the copies of one operation. Each message takes its fault from the front
// of the fault lists; an empty list means no fault.
class ledger_simulation final : public store_client {
 public:
  explicit ledger_simulation(std::uint64_t seed);

  // Sends one copy through a separate ingress node.
  operation_verdict Send(bool may_be_resend = false);
  // Like Send, but also records the answer in the ledger.
  operation_verdict SendAndRecord(bool may_be_resend = false);

  // Starts a new incarnation of the node, without records of attempts.
  void Restart(const std::string& node);
  // Makes every serving node evict its records in favour of other operations.
  void EvictRecords();
  // Delivers the delayed dispatches and commands.
  void DeliverDelayed();

  result<std::string, store_error> Propose(store_id store,
                                           std::string_view command,
                                           time_point deadline) override;
  result<std::string, store_error> Query(store_id store, std::string_view query,
                                         time_point deadline) override;

  [[nodiscard]] unresolved_page Unresolved() const;
  [[nodiscard]] bool HasRecordedAnswer() const;

  manual_clock clock;
  operation_ledger ledger;
  seeded_random_source random;
  claim_coordinator coordinator;
  operation_request request;
  std::vector<ledger_fault> ledger_faults;
  std::vector<dispatch_fault> dispatch_faults;
  // Called before each step of a copy, to insert other copies and faults.
  std::function<void()> interleave = [] {};
  std::set<std::string> unreachable;  // Nodes that do not reply.
  bool has_targets = true;
  attempt_guard_options guard_options;
  std::uint32_t runs = 0;
  operation_answer answer{.status = 201, .headers = {}, .body = "recorded"};

 private:
  class dispatcher;
  struct serving_node {
    std::uint64_t incarnation = 1;
    std::unique_ptr<attempt_guard> guard;
  };
  struct delayed_dispatch {
    node_identity target;
    attempt_reference attempt;
  };

  std::string Apply(std::string_view command);
  attempt_result DeliverDispatch(const node_identity& target,
                                 const attempt_reference& attempt,
                                 dispatch_fault fault);
  attempt_result QueryStatus(const node_identity& target,
                             const attempt_reference& attempt);
  void StartGuard(serving_node& node);

  std::map<std::string, serving_node> nodes_;
  // Running calls may still refer to the guard of a restarted node.
  std::vector<std::unique_ptr<attempt_guard>> previous_guards_;
  std::vector<delayed_dispatch> delayed_dispatches_;
  std::vector<std::string> delayed_commands_;
  std::uint64_t index_ = 0;
};

}  // namespace hornbeam
