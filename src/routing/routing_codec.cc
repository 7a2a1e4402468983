#include "routing/routing_codec.h"

#include <cereal/types/map.hpp>
#include <limits>

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

// Takes the place of a change id in the commands that are no changes. Changes
// have ids of 128 random or hashed bits.
constexpr request_id kDepartureMark{
    .high = std::numeric_limits<std::uint64_t>::max(),
    .low = std::numeric_limits<std::uint64_t>::max()};
// Follows the numbers of routing_query.
constexpr std::uint8_t kDepartureQuery = 2;

struct departure_command {
  request_id mark = kDepartureMark;
  upstream_departure departure;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(mark, departure);
  }
};

struct departure_query {
  std::uint8_t query = kDepartureQuery;
  std::string node;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(query, node);
  }
};

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

std::string EncodeDeparture(const upstream_departure& departure) {
  return EncodeBytes(departure_command{.departure = departure});
}

std::string EncodeDepartureQuery(std::string_view node) {
  return EncodeBytes(departure_query{.node = std::string(node)});
}

std::string EncodeDepartures(
    const std::vector<upstream_departure>& departures) {
  return EncodeBytes(departures);
}

std::optional<upstream_departure> DecodeDeparture(std::string_view bytes) {
  auto command = Decode<departure_command>(bytes);
  if (!command || command->mark != kDepartureMark) return std::nullopt;
  return std::move(command->departure);
}

std::optional<std::string> DecodeDepartureQuery(std::string_view bytes) {
  auto query = Decode<departure_query>(bytes);
  if (!query || query->query != kDepartureQuery) return std::nullopt;
  return std::move(query->node);
}

std::optional<std::vector<upstream_departure>> DecodeDepartures(
    std::string_view bytes) {
  return Decode<std::vector<upstream_departure>>(bytes);
}

}  // namespace hornbeam
