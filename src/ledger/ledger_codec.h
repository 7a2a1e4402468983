// Encoding of the operation ledger's commands, queries and replies.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "ledger/ledger_messages.h"

namespace hornbeam {

// Each Decode function returns std::nullopt for bytes that the matching Encode
// function cannot have written.
std::string EncodeLedgerCommand(const ledger_command& command);
std::optional<ledger_command> DecodeLedgerCommand(std::string_view bytes);

std::string EncodeLedgerReply(const ledger_reply& reply);
std::optional<ledger_reply> DecodeLedgerReply(std::string_view bytes);

std::string EncodeLedgerQuery(const ledger_query& query);
std::optional<ledger_query> DecodeLedgerQuery(std::string_view bytes);

std::string EncodeUnresolvedPage(const unresolved_page& page);
std::optional<unresolved_page> DecodeUnresolvedPage(std::string_view bytes);

std::string EncodeRecordedAnswer(const recorded_answer& answer);
std::optional<recorded_answer> DecodeRecordedAnswer(std::string_view bytes);

}  // namespace hornbeam
