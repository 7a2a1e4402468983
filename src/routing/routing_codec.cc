#include "routing/routing_codec.h"

#include <cereal/types/map.hpp>

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

template <class T>
std::optional<T> Decode(std::string_view bytes) {
  auto decoded = DecodeBytes<T>(bytes);
  if (!decoded) return std::nullopt;
  return std::move(decoded).value();
}

}  // namespace

std::string EncodeRoutingTable(const routing_table& table) {
  return EncodeBytes(table);
}

std::string EncodeRoutingChange(const routing_change& change) {
  return EncodeBytes(change);
}

std::string EncodeRoutingReply(const routing_reply& reply) {
  return EncodeBytes(reply);
}

std::string EncodeRoutingQuery(routing_query query) {
  return EncodeBytes(static_cast<std::uint8_t>(query));
}

std::string EncodeRoutingVersion(std::uint64_t version) {
  return EncodeBytes(version);
}

std::optional<routing_table> DecodeRoutingTable(std::string_view bytes) {
  return Decode<routing_table>(bytes);
}

std::optional<routing_change> DecodeRoutingChange(std::string_view bytes) {
  return Decode<routing_change>(bytes);
}

std::optional<routing_reply> DecodeRoutingReply(std::string_view bytes) {
  auto reply = Decode<routing_reply>(bytes);
  if (reply && reply->verdict > routing_verdict::kInvalid) return std::nullopt;
  return reply;
}

std::optional<routing_query> DecodeRoutingQuery(std::string_view bytes) {
  const auto number = Decode<std::uint8_t>(bytes);
  if (!number || *number > static_cast<std::uint8_t>(routing_query::kTable)) {
    return std::nullopt;
  }
  return static_cast<routing_query>(*number);
}

std::optional<std::uint64_t> DecodeRoutingVersion(std::string_view bytes) {
  return Decode<std::uint64_t>(bytes);
}

}  // namespace hornbeam
