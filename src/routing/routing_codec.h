// Serialisation of routing tables, changes, replies and queries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Query of the routing store: for the version alone or for the whole table.
enum class routing_query : std::uint8_t { kVersion, kTable };

std::string EncodeRoutingTable(const routing_table& table);
std::string EncodeRoutingChange(const routing_change& change);
std::string EncodeRoutingReply(const routing_reply& reply);
std::string EncodeRoutingQuery(routing_query query);
std::string EncodeRoutingVersion(std::uint64_t version);

// Return std::nullopt when the bytes cannot be decoded.
std::optional<routing_table> DecodeRoutingTable(std::string_view bytes);
std::optional<routing_change> DecodeRoutingChange(std::string_view bytes);
std::optional<routing_reply> DecodeRoutingReply(std::string_view bytes);
std::optional<routing_query> DecodeRoutingQuery(std::string_view bytes);
std::optional<std::uint64_t> DecodeRoutingVersion(std::string_view bytes);

}  // namespace hornbeam
