#include "settings/settings_codec.h"

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

template <class T>
std::optional<T> Decode(std::string_view bytes) {
  auto decoded = DecodeBytes<T>(bytes);
  if (!decoded.has_value()) return std::nullopt;
  return std::move(decoded).value();
}

}  // namespace

std::string EncodeSettingsCommand(const change_command& command) {
  return EncodeBytes(command);
}

std::optional<change_command> DecodeSettingsCommand(std::string_view bytes) {
  return Decode<change_command>(bytes);
}

std::string EncodeSettingsReply(const settings_reply& reply) {
  return EncodeBytes(reply);
}

std::optional<settings_reply> DecodeSettingsReply(std::string_view bytes) {
  return Decode<settings_reply>(bytes);
}

std::string EncodeSettingsQuery(const settings_query& query) {
  return EncodeBytes(query);
}

std::optional<settings_query> DecodeSettingsQuery(std::string_view bytes) {
  return Decode<settings_query>(bytes);
}

std::string EncodeDocumentList(const document_list& list) {
  return EncodeBytes(list);
}

std::optional<document_list> DecodeDocumentList(std::string_view bytes) {
  return Decode<document_list>(bytes);
}

}  // namespace hornbeam
