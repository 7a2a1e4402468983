#include "support/ledger_world.h"

#include <algorithm>
#include <utility>

#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr duration kStep = std::chrono::milliseconds(1);
constexpr duration kCallLimit = std::chrono::milliseconds(400);
constexpr std::uint32_t kWindowSeconds = 3'600;
constexpr std::uint32_t kSkewMs = 30'000;
constexpr std::size_t kRecordLimitBytes = 64;

request_id MakeKey(wall_time_point now) {
  const auto issued_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return {(static_cast<std::uint64_t>(issued_ms.count()) << 16U) | 0x7000U,
          0x8000'0000'0000'0001U};
}

template <class T>
T TakeFront(std::vector<T>& faults, T none) {
  if (faults.empty()) return none;
  const T first = faults.front();
  faults.erase(faults.begin());
  return first;
}

attempt_result Unreachable() { return {}; }

attempt_result NotRun(not_run_proof proof) {
  return {.fate = attempt_fate::kNotRun, .proof = proof, .answer = {}};
}

attempt_result Unknown(unknown_reason reason) {
  return {.fate = attempt_fate::kUnknown, .reason = reason, .answer = {}};
}

}  // namespace

time_point set_clock::Now() const { return time_point(passed_); }

wall_time_point set_clock::WallNow() const { return wall_time_point(passed_); }

// Delivers the messages of one copy and injects their faults.
class ledger_world::dispatcher final : public attempt_dispatcher {
 public:
  explicit dispatcher(ledger_world& world) : world_(world) {}

  std::optional<node_identity> ChooseTarget(
      std::span<const node_identity> tried) override {
    if (!world_.has_targets) return std::nullopt;
    for (const auto& [name, node] : world_.nodes_) {
      const bool was_tried =
          std::ranges::find(tried, name, &node_identity::name) != tried.end();
      if (!was_tried) return node_identity{name, node.incarnation};
    }
    return std::nullopt;
  }

  attempt_result Dispatch(const node_identity& target,
                          const attempt_reference& attempt,
                          time_point /*deadline*/) override {
    const auto fault = TakeFront(world_.dispatch_faults, dispatch_fault::kNone);
    if (fault == dispatch_fault::kConnectRefused) {
      return hornbeam::NotRun(not_run_proof::kNeverSent);
    }
    if (fault == dispatch_fault::kLateDispatch) {
      world_.late_dispatches_.push_back({target, attempt});
      world_.interleave();
      return Unreachable();
    }
    world_.interleave();
    return world_.Arrive(target, attempt, fault);
  }

  attempt_result Fence(const node_identity& target,
                       const attempt_reference& attempt,
                       time_point /*deadline*/) override {
    world_.interleave();
    return world_.AskFate(target, attempt);
  }

  void Wait(duration length) override { world_.clock.Advance(length); }

 private:
  ledger_world& world_;
};

ledger_world::ledger_world(std::uint64_t seed)
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

operation_verdict ledger_world::Send(bool may_be_resend) {
  clock.Advance(kStep);
  operation_request copy = request;
  copy.received_at = clock.WallNow();
  copy.deadline = clock.Now() + kCallLimit;
  copy.may_be_resend = may_be_resend;
  dispatcher messages(*this);
  return coordinator.Run(copy, messages);
}

operation_verdict ledger_world::SendAndRecord(bool may_be_resend) {
  operation_verdict verdict = Send(may_be_resend);
  if (verdict.to_record) coordinator.Record(*verdict.to_record);
  return verdict;
}

void ledger_world::Restart(const std::string& node) {
  ++nodes_.at(node).incarnation;
  StartGuard(nodes_.at(node));
}

void ledger_world::Crowd() {
  for (auto& [name, node] : nodes_) {
    for (std::size_t i = 0; i < guard_options.max_ended; ++i) {
      const attempt_reference other{
          .operation = {"dossiers", request_id::MakeRandom(random)},
          .number = 1,
          .claimed_at_us = clock.WallNow().time_since_epoch().count()};
      node.guard->Fence(other, node.incarnation);
    }
  }
}

void ledger_world::DeliverLate() {
  const auto dispatches = std::exchange(late_dispatches_, {});
  for (const late_dispatch& late : dispatches) {
    Arrive(late.target, late.attempt, dispatch_fault::kNone);
  }
  const auto commands = std::exchange(late_commands_, {});
  for (const std::string& command : commands) Apply(command);
}

result<std::string, store_error> ledger_world::Propose(
    store_id /*store*/, std::string_view command, time_point /*deadline*/) {
  interleave();
  clock.Advance(kStep);
  switch (TakeFront(ledger_faults, ledger_fault::kNone)) {
    case ledger_fault::kNone:
      return Apply(command);
    case ledger_fault::kReplyLost:
      Apply(command);
      break;
    case ledger_fault::kLateCommand:
      late_commands_.emplace_back(command);
      break;
    case ledger_fault::kRefused:
      return store_error::kNoQuorum;
  }
  clock.Advance(kCallLimit / 4);
  return store_error::kTimeout;
}

result<std::string, store_error> ledger_world::Query(store_id /*store*/,
                                                     std::string_view query,
                                                     time_point /*deadline*/) {
  return ledger.Query(query);
}

unresolved_page ledger_world::Unresolved() const {
  return *DecodeUnresolvedPage(
      ledger.Query(EncodeLedgerQuery(list_unresolved_query{.limit = 10})));
}

bool ledger_world::HasRecordedAnswer() const {
  const auto reply = DecodeLedgerReply(
      ledger.Query(EncodeLedgerQuery(get_operation_query{request.operation})));
  return reply && std::holds_alternative<answered_reply>(*reply);
}

std::string ledger_world::Apply(std::string_view command) {
  return ledger.Apply(
      {.index = ++index_, .accepted_at = clock.WallNow(), .command = command});
}

attempt_result ledger_world::Arrive(const node_identity& target,
                                    const attempt_reference& attempt,
                                    dispatch_fault fault) {
  attempt_guard& guard = *nodes_.at(target.name).guard;
  switch (guard.Begin(attempt, target.incarnation)) {
    case dispatch_verdict::kRun:
      break;
    case dispatch_verdict::kWrongIncarnation:
    case dispatch_verdict::kFenced:
      return NotRun(not_run_proof::kRefused);
    case dispatch_verdict::kSeen:
      return Unreachable();
    case dispatch_verdict::kForgotten:
      return Unknown(unknown_reason::kNodeForgot);
  }
  if (fault == dispatch_fault::kShed) {
    guard.Refuse(attempt);
    return NotRun(not_run_proof::kRefused);
  }
  ++runs;
  interleave();
  // The node may have been restarted by interleave().
  const bool lives = nodes_.at(target.name).guard.get() == &guard &&
                     nodes_.at(target.name).incarnation == target.incarnation;
  if (!lives) return Unreachable();
  if (fault == dispatch_fault::kUpstreamLost) {
    guard.Lose(attempt);
    return Unknown(unknown_reason::kUpstreamLost);
  }
  const operation_answer answer{
      .status = 201, .headers = {}, .body = answer_body};
  guard.Finish(attempt, answer);
  if (fault == dispatch_fault::kAnswerLost) return Unreachable();
  return {.fate = attempt_fate::kAnswered, .answer = answer};
}

attempt_result ledger_world::AskFate(const node_identity& target,
                                     const attempt_reference& attempt) {
  if (unreachable.contains(target.name)) return Unreachable();
  attempt_report report =
      nodes_.at(target.name).guard->Fence(attempt, target.incarnation);
  switch (report.knowledge) {
    case attempt_knowledge::kNotRun:
      return NotRun(not_run_proof::kFenced);
    case attempt_knowledge::kRunning:
      return {.fate = attempt_fate::kRunning, .answer = {}};
    case attempt_knowledge::kAnswered:
      return {.fate = attempt_fate::kAnswered,
              .answer = std::move(report.answer)};
    case attempt_knowledge::kLost:
      return Unknown(unknown_reason::kUpstreamLost);
    case attempt_knowledge::kForgotten:
      return Unknown(unknown_reason::kNodeForgot);
    case attempt_knowledge::kOtherIncarnation:
      break;
  }
  return Unknown(unknown_reason::kNodeRestarted);
}

void ledger_world::StartGuard(serving_node& node) {
  if (node.guard) former_guards_.push_back(std::move(node.guard));
  node.guard =
      std::make_unique<attempt_guard>(clock, node.incarnation, guard_options);
}

}  // namespace hornbeam
