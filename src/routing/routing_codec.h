// Serialisation of routing tables, changes, replies and queries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"
#include "hornbeam/upstream_departure.h"

namespace hornbeam {

// Query of the routing store: for the version alone or for the whole table.
enum class routing_query : std::uint8_t { kVersion, kTable };

std::string EncodeRoutingTable(const routing_table& table);
std::string EncodeRoutingChange(const routing_change& change);
std::string EncodeRoutingReply(const routing_reply& reply);
std::string EncodeRoutingQuery(routing_query query);
std::string EncodeRoutingVersion(std::uint64_t version);
// The command that records a departure; the reply is a routing_reply.
std::string EncodeDeparture(const upstream_departure& departure);
// The query for the departures of one node.
std::string EncodeDepartureQuery(std::string_view node);
std::string EncodeDepartures(const std::vector<upstream_departure>& departures);

// Return std::nullopt when the bytes cannot be decoded.
std::optional<routing_table> DecodeRoutingTable(std::string_view bytes);
std::optional<routing_change> DecodeRoutingChange(std::string_view bytes);
std::optional<routing_reply> DecodeRoutingReply(std::string_view bytes);
std::optional<routing_query> DecodeRoutingQuery(std::string_view bytes);
std::optional<std::uint64_t> DecodeRoutingVersion(std::string_view bytes);
std::optional<upstream_departure> DecodeDeparture(std::string_view bytes);
// Returns the node's name.
std::optional<std::string> DecodeDepartureQuery(std::string_view bytes);
std::optional<std::vector<upstream_departure>> DecodeDepartures(
    std::string_view bytes);

}  // namespace hornbeam
