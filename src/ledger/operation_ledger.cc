#include "ledger/operation_ledger.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <numeric>
#include <utility>
#include <variant>

#include "ledger/key_time.h"
#include "ledger/ledger_codec.h"

namespace hornbeam {

namespace {

constexpr std::int64_t kMicrosecondsPerMs = 1'000;
constexpr std::int64_t kMsPerSecond = 1'000;
// Answered operations are grouped by the time at which their keys were issued,
// in spans of this length. The operations of one span expire together.
constexpr std::int64_t kTableSpanMs = 60'000;
constexpr std::uint32_t kMinKeyWindowSeconds = 60;
constexpr std::uint32_t kMaxKeyWindowSeconds = 86'400;
constexpr std::uint32_t kMaxPageSize = 1'000;

rejected_reply Reject(ledger_rejection reason) { return {.reason = reason}; }

answered_reply MakeAnswered(const answered_operation& operation) {
  auto answer = DecodeRecordedAnswer(operation.answer);
  assert(answer.has_value());
  return {.attempt = operation.attempt, .answer = *std::move(answer)};
}

ledger_reply DescribeLive(const live_operation& operation) {
  switch (operation.state) {
    case live_state::kClaimed:
      return in_progress_reply{.attempt = operation.attempt,
                               .target = operation.target,
                               .ingress = operation.ingress,
                               .claimed_at_us = operation.claimed_at_us};
    case live_state::kUnknown:
      return unresolved_reply{.attempt = operation.attempt,
                              .target = operation.target,
                              .reason = operation.reason};
    case live_state::kFree:
      break;
  }
  return free_reply{.attempt = operation.attempt};
}

granted_reply Grant(const live_operation& operation) {
  return {.attempt = operation.attempt,
          .claimed_at_us = operation.claimed_at_us};
}

bool IsLiveAttempt(const live_operation* operation, std::uint32_t attempt) {
  return operation != nullptr && operation->state == live_state::kClaimed &&
         operation->attempt == attempt;
}

// Starts the next attempt of the operation and grants it.
template <class Command>
granted_reply StartAttempt(live_operation& operation, const Command& command,
                           std::int64_t now_us) {
  ++operation.attempt;
  operation.state = live_state::kClaimed;
  operation.nonce = command.nonce;
  operation.target = command.target;
  operation.ingress = command.ingress;
  operation.claimed_at_us = now_us;
  return Grant(operation);
}

std::int64_t TableIndex(std::int64_t issued_ms) {
  return issued_ms / kTableSpanMs;
}

unresolved_operation MakeUnresolved(const std::string& service,
                                    const live_operation& operation) {
  unresolved_operation unresolved{.operation = {service, operation.key},
                                  .attempt = operation.attempt,
                                  .target = operation.target,
                                  .ingress = operation.ingress,
                                  .claimed_at_us = operation.claimed_at_us,
                                  .reason = std::nullopt};
  if (operation.state == live_state::kUnknown)
    unresolved.reason = operation.reason;
  return unresolved;
}

}  // namespace

std::string operation_ledger::Apply(const committed_entry& entry) {
  now_us_ = std::max<std::int64_t>(
      now_us_, entry.accepted_at.time_since_epoch().count());
  const auto command = DecodeLedgerCommand(entry.command);
  if (!command) return EncodeLedgerReply(Reject(ledger_rejection::kMalformed));
  return EncodeLedgerReply(std::visit(
      [this](const auto& value) { return Handle(value); }, *command));
}

std::string operation_ledger::Query(std::string_view query) const {
  const auto decoded = DecodeLedgerQuery(query);
  if (!decoded) return EncodeLedgerReply(Reject(ledger_rejection::kMalformed));
  if (const auto* list = std::get_if<list_unresolved_query>(&*decoded)) {
    return EncodeUnresolvedPage(ListUnresolved(*list));
  }
  return EncodeLedgerReply(
      Describe(std::get<get_operation_query>(*decoded).operation));
}

ledger_reply operation_ledger::Handle(const claim_command& command) {
  const auto issued_ms = KeyIssuedAtMs(command.operation.key);
  if (!issued_ms) return Reject(ledger_rejection::kMalformed);
  service_state& service = services_[command.operation.service];
  ExpireKeys(service, command.key_window_s);
  if (const auto answered = FindAnswered(command.operation)) {
    if (answered->request_digest != command.request_digest) {
      return Reject(ledger_rejection::kBodyMismatch);
    }
    return MakeAnswered(*answered);
  }
  if (live_operation* operation = FindLive(command.operation)) {
    return ClaimExisting(*operation, command,
                         *issued_ms > service.expired_up_to_ms);
  }
  return ClaimNew(service, command, *issued_ms);
}

ledger_reply operation_ledger::ClaimNew(service_state& service,
                                        const claim_command& command,
                                        std::int64_t issued_ms) {
  if (issued_ms <= service.expired_up_to_ms) {
    return Reject(ledger_rejection::kKeyExpired);
  }
  if (issued_ms > now_us_ / kMicrosecondsPerMs + command.key_skew_ms) {
    return Reject(ledger_rejection::kKeyFromFuture);
  }
  live_operation& operation = service.live[command.operation.key];
  operation.key = command.operation.key;
  operation.request_digest = command.request_digest;
  return StartAttempt(operation, command, now_us_);
}

ledger_reply operation_ledger::ClaimExisting(live_operation& operation,
                                             const claim_command& command,
                                             bool key_valid) {
  if (!operation.has_digest) {
    operation.request_digest = command.request_digest;
    operation.has_digest = true;
  }
  if (operation.request_digest != command.request_digest) {
    return Reject(ledger_rejection::kBodyMismatch);
  }
  if (operation.state == live_state::kClaimed &&
      operation.nonce == command.nonce) {
    return Grant(operation);
  }
  if (operation.state == live_state::kFree && key_valid &&
      command.received_at_us > operation.freed_at_us) {
    return StartAttempt(operation, command, now_us_);
  }
  return ReplyAndBlockOlderCopies(command.operation);
}

ledger_reply operation_ledger::Handle(const advance_command& command) {
  live_operation* operation = FindLive(command.operation);
  if (IsLiveAttempt(operation, command.attempt)) {
    return StartAttempt(*operation, command, now_us_);
  }
  if (IsLiveAttempt(operation, command.attempt + 1) &&
      operation->nonce == command.nonce) {
    return Grant(*operation);
  }
  return ReplyAndBlockOlderCopies(command.operation);
}

ledger_reply operation_ledger::Handle(const abandon_command& command) {
  live_operation* operation = FindLive(command.operation);
  if (IsLiveAttempt(operation, command.attempt)) {
    operation->state = live_state::kFree;
  } else if (command.attempt == 0 && operation == nullptr &&
             !FindAnswered(command.operation)) {
    return FreeUnclaimed(command.operation);
  }
  return ReplyAndBlockOlderCopies(command.operation);
}

ledger_reply operation_ledger::FreeUnclaimed(const operation_key& key) {
  const auto issued_ms = KeyIssuedAtMs(key.key);
  if (!issued_ms) return Reject(ledger_rejection::kMalformed);
  service_state& service = services_[key.service];
  if (*issued_ms <= service.expired_up_to_ms) {
    return Reject(ledger_rejection::kKeyExpired);
  }
  live_operation& operation = service.live[key.key];
  operation.key = key.key;
  operation.state = live_state::kFree;
  operation.has_digest = false;
  return ReplyAndBlockOlderCopies(key);
}

ledger_reply operation_ledger::Handle(const complete_command& command) {
  live_operation* operation = FindLive(command.operation);
  const bool can_complete = operation != nullptr &&
                            operation->state != live_state::kFree &&
                            operation->attempt == command.attempt;
  if (!can_complete) return ReplyAndBlockOlderCopies(command.operation);
  service_state& service = services_.find(command.operation.service)->second;
  const std::int64_t issued_ms = *KeyIssuedAtMs(operation->key);
  if (issued_ms > service.expired_up_to_ms) {
    const std::string answer = EncodeRecordedAnswer(command.answer);
    service.answered[TableIndex(issued_ms)].Add(
        {.key = operation->key,
         .request_digest = operation->request_digest,
         .attempt = operation->attempt,
         .answer = answer});
  }
  service.live.erase(command.operation.key);
  return recorded_reply{};
}

ledger_reply operation_ledger::Handle(const mark_unknown_command& command) {
  live_operation* operation = FindLive(command.operation);
  if (!IsLiveAttempt(operation, command.attempt)) {
    return ReplyAndBlockOlderCopies(command.operation);
  }
  operation->state = live_state::kUnknown;
  operation->reason = command.reason;
  return DescribeLive(*operation);
}

ledger_reply operation_ledger::Handle(const acknowledge_command& command) {
  live_operation* operation = FindLive(command.operation);
  if (operation == nullptr || operation->state == live_state::kFree) {
    return ReplyAndBlockOlderCopies(command.operation);
  }
  if (operation->state == live_state::kClaimed) {
    operation->state = live_state::kUnknown;
    operation->reason = unknown_reason::kRecordEvicted;
  }
  operation->acknowledged = true;
  return recorded_reply{};
}

ledger_reply operation_ledger::ReplyAndBlockOlderCopies(
    const operation_key& key) {
  live_operation* operation = FindLive(key);
  if (operation != nullptr && operation->state == live_state::kFree) {
    operation->freed_at_us = now_us_;
  }
  return Describe(key);
}

ledger_reply operation_ledger::Describe(const operation_key& key) const {
  if (const live_operation* operation = FindLive(key)) {
    return DescribeLive(*operation);
  }
  if (const auto answered = FindAnswered(key)) return MakeAnswered(*answered);
  return Reject(ledger_rejection::kAbsent);
}

unresolved_page operation_ledger::ListUnresolved(
    const list_unresolved_query& query) const {
  unresolved_page page;
  const std::size_t limit = std::clamp(query.limit, 1U, kMaxPageSize);
  const std::int64_t newest =
      now_us_ - std::int64_t{query.min_age_ms} * kMicrosecondsPerMs;
  for (const auto& [name, service] : services_) {
    for (const auto& [key, operation] : service.live) {
      const bool listed = operation.state != live_state::kFree &&
                          !operation.acknowledged &&
                          operation.claimed_at_us <= newest;
      if (!listed) continue;
      if (query.after && operation_key{name, key} <= *query.after) continue;
      if (page.operations.size() == limit) {
        page.more = true;
        return page;
      }
      page.operations.push_back(MakeUnresolved(name, operation));
    }
  }
  return page;
}

live_operation* operation_ledger::FindLive(const operation_key& key) {
  return const_cast<live_operation*>(std::as_const(*this).FindLive(key));
}

const live_operation* operation_ledger::FindLive(
    const operation_key& key) const {
  const auto service = services_.find(key.service);
  if (service == services_.end()) return nullptr;
  const auto found = service->second.live.find(key.key);
  return found == service->second.live.end() ? nullptr : &found->second;
}

std::optional<answered_operation> operation_ledger::FindAnswered(
    const operation_key& key) const {
  const auto issued_ms = KeyIssuedAtMs(key.key);
  const auto service = services_.find(key.service);
  if (!issued_ms || service == services_.end()) return std::nullopt;
  const auto table = service->second.answered.find(TableIndex(*issued_ms));
  if (table == service->second.answered.end()) return std::nullopt;
  return table->second.Find(key.key);
}

// Advances the time up to which the service's keys are expired. Drops the
// answered operations of completely expired time spans, and the expired live
// operations that are free or acknowledged.
void operation_ledger::ExpireKeys(service_state& service,
                                  std::uint32_t key_window_s) {
  const std::int64_t window_ms =
      kMsPerSecond *
      std::clamp(key_window_s, kMinKeyWindowSeconds, kMaxKeyWindowSeconds);
  const std::int64_t expired_up_to_ms =
      now_us_ / kMicrosecondsPerMs - window_ms;
  if (expired_up_to_ms <= service.expired_up_to_ms) return;
  const bool new_table =
      TableIndex(expired_up_to_ms) != TableIndex(service.expired_up_to_ms);
  service.expired_up_to_ms = expired_up_to_ms;
  if (!new_table) return;
  service.answered.erase(
      service.answered.begin(),
      service.answered.lower_bound(TableIndex(expired_up_to_ms)));
  std::erase_if(service.live, [expired_up_to_ms](const auto& item) {
    const live_operation& operation = item.second;
    const bool closed =
        operation.state == live_state::kFree || operation.acknowledged;
    return closed && *KeyIssuedAtMs(operation.key) <= expired_up_to_ms;
  });
}

std::string operation_ledger::TakeSnapshot() const {
  ledger_image image;
  image.now_us = now_us_;
  for (const auto& [name, service] : services_) {
    service_image& saved = image.services.emplace_back();
    saved.service = name;
    saved.expired_up_to_ms = service.expired_up_to_ms;
    std::ranges::transform(service.live, std::back_inserter(saved.live),
                           [](const auto& item) { return item.second; });
    for (const auto& [span, table] : service.answered) {
      table.ForEach([&saved](const answered_operation& operation) {
        saved.answered.push_back({.key = operation.key,
                                  .request_digest = operation.request_digest,
                                  .attempt = operation.attempt,
                                  .answer = std::string(operation.answer)});
      });
    }
  }
  return EncodeLedgerImage(image);
}

bool operation_ledger::RestoreSnapshot(std::string_view snapshot) {
  auto image = DecodeLedgerImage(snapshot);
  if (!image) return false;
  std::map<std::string, service_state, std::less<>> services;
  for (service_image& from : image->services) {
    service_state& service = services[from.service];
    service.expired_up_to_ms = from.expired_up_to_ms;
    for (live_operation& operation : from.live) {
      service.live.emplace(operation.key, std::move(operation));
    }
    for (const answered_operation_image& operation : from.answered) {
      answer_table& table =
          service.answered[TableIndex(*KeyIssuedAtMs(operation.key))];
      if (table.Find(operation.key)) return false;
      table.Add({.key = operation.key,
                 .request_digest = operation.request_digest,
                 .attempt = operation.attempt,
                 .answer = operation.answer});
    }
  }
  services_ = std::move(services);
  now_us_ = image->now_us;
  return true;
}

std::size_t operation_ledger::OperationCount() const {
  std::size_t count = 0;
  for (const auto& [name, service] : services_) {
    count += service.live.size();
    for (const auto& [span, table] : service.answered) count += table.Count();
  }
  return count;
}

std::size_t operation_ledger::AnswerBytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, service] : services_) {
    for (const auto& [span, table] : service.answered) {
      bytes += table.AllocatedBytes();
    }
  }
  return bytes;
}

}  // namespace hornbeam
