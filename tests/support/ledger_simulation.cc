#include "support/ledger_simulation.h"

#include <algorithm>
#include <utility>

#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr duration kStep = std::chrono::milliseconds(1);
constexpr duration kCallTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t kWindowSeconds = 3'600;
constexpr std::uint32_t kSkewMs = 30'000;
constexpr std::size_t kRecordLimitBytes = 64;

request_id MakeKey(wall_time_point now) {
  const auto issued_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return {(static_cast<std::uint64_t>(issued_ms.count()) << 16U) | 0x7000U,
          0x8000'0000'0000'0001U};
}

// Removes and returns the first fault, or returns `none` if there is none.
template <class T>
T TakeFront(std::vector<T>& faults, T none) {
  if (faults.empty()) return none;
  const T first = faults.front();
  faults.erase(faults.begin());
  return first;
}

attempt_result Unreachable() { return {}; }

attempt_result NotRun(not_run_proof proof) {
  return {.status = attempt_status::kNotRun, .proof = proof, .answer = {}};
}

attempt_result Unknown(unknown_reason reason) {
  return {.status = attempt_status::kUnknown, .reason = reason, .answer = {}};
}

}  // namespace

time_point manual_clock::Now() const { return time_point(elapsed_); }

wall_time_point manual_clock::WallNow() const {
  return wall_time_point(elapsed_);
}

// Delivers the messages of one copy and injects their faults.
class ledger_simulation::dispatcher final : public attempt_dispatcher {
 public:
  explicit dispatcher(ledger_simulation& simulation)
      : simulation_(simulation) {}

  std::optional<node_identity> ChooseTarget(
      std::span<const node_identity> tried) override {
    if (!simulation_.has_targets) return std::nullopt;
    for (const auto& [name, node] : simulation_.nodes_) {
      const bool was_tried =
          std::ranges::find(tried, name, &node_identity::name) != tried.end();
      if (!was_tried) return node_identity{name, node.incarnation};
    }
    return std::nullopt;
  }

  attempt_result Dispatch(const node_identity& target,
                          const attempt_reference& attempt,
                          time_point /*deadline*/) override {
    const auto fault =
        TakeFront(simulation_.dispatch_faults, dispatch_fault::kNone);
    if (fault == dispatch_fault::kConnectRefused) {
      return hornbeam::NotRun(not_run_proof::kNeverSent);
    }
    if (fault == dispatch_fault::kDispatchDelayed) {
      simulation_.delayed_dispatches_.push_back({target, attempt});
      simulation_.interleave();
      return Unreachable();
    }
    simulation_.interleave();
    return simulation_.DeliverDispatch(target, attempt, fault);
  }

  attempt_result Fence(const node_identity& target,
                       const attempt_reference& attempt,
                       time_point /*deadline*/) override {
    simulation_.interleave();
    return simulation_.QueryStatus(target, attempt);
  }

  void Wait(duration length) override { simulation_.clock.Advance(length); }

 private:
  ledger_simulation& simulation_;
};

ledger_simulation::ledger_simulation(std::uint64_t seed)
    : random(seed), coordinator(*this, clock, random) {
  request.operation = {"compteurs", MakeKey(clock.WallNow())};
  request.request_digest = {1, 2};
  request.ingress = "ingress";
  request.key_window_s = kWindowSeconds;
  request.key_skew_ms = kSkewMs;
  request.answer_record_limit_bytes = kRecordLimitBytes;
  for (const char* name : {"node-a", "node-b", "node-c"}) {
    StartGuard(nodes_[name]);
  }
}

operation_verdict ledger_simulation::Send(bool may_be_resend) {
  clock.Advance(kStep);
  operation_request copy = request;
  copy.received_at = clock.WallNow();
  copy.deadline = clock.Now() + kCallTimeout;
  copy.may_be_resend = may_be_resend;
  dispatcher call_dispatcher(*this);
  return coordinator.Run(copy, call_dispatcher);
}

operation_verdict ledger_simulation::SendAndRecord(bool may_be_resend) {
  operation_verdict verdict = Send(may_be_resend);
  if (verdict.to_record) coordinator.Record(*verdict.to_record);
  return verdict;
}

void ledger_simulation::Restart(const std::string& node) {
  ++nodes_.at(node).incarnation;
  StartGuard(nodes_.at(node));
}

void ledger_simulation::EvictRecords() {
  for (auto& [name, node] : nodes_) {
    for (std::size_t i = 0; i < guard_options.max_terminated; ++i) {
      const attempt_reference other{
          .operation = {"dossiers", request_id::MakeRandom(random)},
          .number = 1,
          .claimed_at_us = clock.WallNow().time_since_epoch().count()};
      node.guard->Fence(other, node.incarnation);
    }
  }
}

void ledger_simulation::DeliverDelayed() {
  const auto dispatches = std::exchange(delayed_dispatches_, {});
  for (const delayed_dispatch& delayed : dispatches) {
    DeliverDispatch(delayed.target, delayed.attempt, dispatch_fault::kNone);
  }
  const auto commands = std::exchange(delayed_commands_, {});
  for (const std::string& command : commands) Apply(command);
}

result<std::string, store_error> ledger_simulation::Propose(
    store_id /*store*/, std::string_view command, time_point /*deadline*/) {
  interleave();
  clock.Advance(kStep);
  switch (TakeFront(ledger_faults, ledger_fault::kNone)) {
    case ledger_fault::kNone:
      return Apply(command);
    case ledger_fault::kReplyLost:
      Apply(command);
      break;
    case ledger_fault::kCommandDelayed:
      delayed_commands_.emplace_back(command);
      break;
    case ledger_fault::kRejected:
      return store_error::kNoQuorum;
  }
  clock.Advance(kCallTimeout / 4);
  return store_error::kTimeout;
}

result<std::string, store_error> ledger_simulation::Query(
    store_id /*store*/, std::string_view query, time_point /*deadline*/) {
  return ledger.Query(query);
}

unresolved_page ledger_simulation::Unresolved() const {
  return *DecodeUnresolvedPage(
      ledger.Query(EncodeLedgerQuery(list_unresolved_query{.limit = 10})));
}

bool ledger_simulation::HasRecordedAnswer() const {
  const auto reply = DecodeLedgerReply(
      ledger.Query(EncodeLedgerQuery(get_operation_query{request.operation})));
  return reply && std::holds_alternative<answered_reply>(*reply);
}

std::string ledger_simulation::Apply(std::string_view command) {
  return ledger.Apply(
      {.index = ++index_, .accepted_at = clock.WallNow(), .command = command});
}

attempt_result ledger_simulation::DeliverDispatch(
    const node_identity& target, const attempt_reference& attempt,
    dispatch_fault fault) {
  attempt_guard& guard = *nodes_.at(target.name).guard;
  switch (guard.Begin(attempt, target.incarnation)) {
    case dispatch_verdict::kRun:
      break;
    case dispatch_verdict::kWrongIncarnation:
    case dispatch_verdict::kFenced:
      return NotRun(not_run_proof::kRejected);
    case dispatch_verdict::kDuplicate:
      return Unreachable();
    case dispatch_verdict::kForgotten:
      return Unknown(unknown_reason::kRecordEvicted);
  }
  if (fault == dispatch_fault::kShed) {
    guard.Reject(attempt);
    return NotRun(not_run_proof::kRejected);
  }
  ++runs;
  interleave();
  // The node may have been restarted by interleave().
  const bool is_current =
      nodes_.at(target.name).guard.get() == &guard &&
      nodes_.at(target.name).incarnation == target.incarnation;
  if (!is_current) return Unreachable();
  if (fault == dispatch_fault::kUpstreamLost) {
    guard.MarkLost(attempt);
    return Unknown(unknown_reason::kUpstreamLost);
  }
  guard.Finish(attempt, answer);
  if (fault == dispatch_fault::kAnswerLost) return Unreachable();
  return {.status = attempt_status::kAnswered, .answer = answer};
}

attempt_result ledger_simulation::QueryStatus(
    const node_identity& target, const attempt_reference& attempt) {
  if (unreachable.contains(target.name)) return Unreachable();
  attempt_report report =
      nodes_.at(target.name).guard->Fence(attempt, target.incarnation);
  switch (report.state) {
    case attempt_state::kNotRun:
      return NotRun(not_run_proof::kFenced);
    case attempt_state::kRunning:
      return {.status = attempt_status::kRunning, .answer = {}};
    case attempt_state::kAnswered:
      return {.status = attempt_status::kAnswered,
              .answer = std::move(report.answer)};
    case attempt_state::kLost:
      return Unknown(unknown_reason::kUpstreamLost);
    case attempt_state::kForgotten:
      return Unknown(unknown_reason::kRecordEvicted);
    case attempt_state::kOtherIncarnation:
      break;
  }
  return Unknown(unknown_reason::kNodeRestarted);
}

void ledger_simulation::StartGuard(serving_node& node) {
  if (node.guard) previous_guards_.push_back(std::move(node.guard));
  node.guard =
      std::make_unique<attempt_guard>(clock, node.incarnation, guard_options);
}

}  // namespace hornbeam
