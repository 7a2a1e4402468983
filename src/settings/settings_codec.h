// Encoding of the settings store's commands, queries and replies.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "settings/settings_messages.h"

namespace hornbeam {

// Each Decode function returns std::nullopt for bytes that the matching Encode
// function cannot have written.
std::string EncodeSettingsCommand(const change_command& command);
std::optional<change_command> DecodeSettingsCommand(std::string_view bytes);

std::string EncodeSettingsReply(const settings_reply& reply);
std::optional<settings_reply> DecodeSettingsReply(std::string_view bytes);

std::string EncodeSettingsQuery(const settings_query& query);
std::optional<settings_query> DecodeSettingsQuery(std::string_view bytes);

std::string EncodeDocumentList(const document_list& list);
std::optional<document_list> DecodeDocumentList(std::string_view bytes);

}  // namespace hornbeam
