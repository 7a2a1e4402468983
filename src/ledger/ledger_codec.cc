#include "ledger/ledger_codec.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

// Enumerators are encoded as numbers. The IsValid functions check whether those
// numbers are in range.
bool IsValid(not_run_proof proof) { return proof <= not_run_proof::kFenced; }

bool IsValid(unknown_reason reason) {
  return reason <= unknown_reason::kRecordEvicted;
}

bool IsValid(ledger_rejection reason) {
  return reason <= ledger_rejection::kMalformed;
}

bool IsValid(const unresolved_operation& operation) {
  return !operation.reason || IsValid(*operation.reason);
}

bool IsValid(const unresolved_page& page) {
  return std::ranges::all_of(page.operations, [](const auto& operation) {
    return IsValid(operation);
  });
}

// A message with an enumerator has it in a field named `proof` or `reason`;
// other messages have none.
template <class T>
bool IsValid(const T& message) {
  if constexpr (requires { message.proof; }) {
    return IsValid(message.proof);
  } else if constexpr (requires { message.reason; }) {
    return IsValid(message.reason);
  } else {
    return true;
  }
}

template <class... T>
bool IsValid(const std::variant<T...>& message) {
  return std::visit([](const auto& value) { return IsValid(value); }, message);
}

template <class T>
std::optional<T> Decode(std::string_view bytes) {
  auto decoded = DecodeBytes<T>(bytes);
  if (!decoded.has_value() || !IsValid(decoded.value())) return std::nullopt;
  return std::move(decoded).value();
}

}  // namespace

std::string EncodeLedgerCommand(const ledger_command& command) {
  return EncodeBytes(command);
}

std::optional<ledger_command> DecodeLedgerCommand(std::string_view bytes) {
  return Decode<ledger_command>(bytes);
}

std::string EncodeLedgerReply(const ledger_reply& reply) {
  return EncodeBytes(reply);
}

std::optional<ledger_reply> DecodeLedgerReply(std::string_view bytes) {
  return Decode<ledger_reply>(bytes);
}

std::string EncodeLedgerQuery(const ledger_query& query) {
  return EncodeBytes(query);
}

std::optional<ledger_query> DecodeLedgerQuery(std::string_view bytes) {
  return Decode<ledger_query>(bytes);
}

std::string EncodeUnresolvedPage(const unresolved_page& page) {
  return EncodeBytes(page);
}

std::optional<unresolved_page> DecodeUnresolvedPage(std::string_view bytes) {
  return Decode<unresolved_page>(bytes);
}

std::string EncodeRecordedAnswer(const recorded_answer& answer) {
  return EncodeBytes(answer);
}

std::optional<recorded_answer> DecodeRecordedAnswer(std::string_view bytes) {
  return Decode<recorded_answer>(bytes);
}

}  // namespace hornbeam
