#include "routing/routing_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <utility>

#include "base/byte_archive.h"
#include "routing/routing_codec.h"
#include "routing/routing_rules.h"

namespace hornbeam {

struct routing_store::table_state {
  routing_table table;
  std::deque<request_id> accepted;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(table, accepted);
  }
};

struct routing_store::stored_state {
  table_state changes;
  std::deque<upstream_departure> departures;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(changes, departures);
  }
};

std::string routing_store::Apply(const committed_entry& entry) {
  if (auto departure = DecodeDeparture(entry.command)) {
    departures_.Record(std::move(*departure));
    return EncodeRoutingReply({.verdict = routing_verdict::kAccepted,
                               .current_version = table_.version});
  }
  const auto change = DecodeRoutingChange(entry.command);
  if (!change) {
    return EncodeRoutingReply({.current_version = table_.version,
                               .errors = {"the change cannot be read"}});
  }
  return EncodeRoutingReply(Change(*change));
}

routing_reply routing_store::Change(const routing_change& change) {
  routing_reply reply{.current_version = table_.version};
  if (std::ranges::find(accepted_ids_, change.change_id) !=
      accepted_ids_.end()) {
    reply.verdict = routing_verdict::kAccepted;
    return reply;
  }
  if (change.base_version != table_.version) {
    reply.verdict = routing_verdict::kStale;
    return reply;
  }
  if (change.version <= table_.version) {
    reply.errors = {"the version is not above the current one"};
    return reply;
  }
  auto next = ApplyRoutingChange(table_, change);
  if (!next) {
    reply.errors = std::move(next).error();
    return reply;
  }
  const std::size_t size = EncodeRoutingTable(next.value()).size();
  if (size > kMaxTableBytes) {
    reply.errors = {fmt::format("the table would have {} bytes, above {}", size,
                                kMaxTableBytes)};
    return reply;
  }
  table_ = std::move(next).value();
  accepted_ids_.push_back(change.change_id);
  if (accepted_ids_.size() > kRememberedChangeIds) accepted_ids_.pop_front();
  reply.verdict = routing_verdict::kAccepted;
  reply.current_version = table_.version;
  return reply;
}

std::string routing_store::Query(std::string_view query) const {
  if (const auto node = DecodeDepartureQuery(query))
    return EncodeDepartures(departures_.Of(*node));
  const auto decoded = DecodeRoutingQuery(query);
  if (decoded == routing_query::kTable) return EncodeRoutingTable(table_);
  return EncodeRoutingVersion(table_.version);
}

std::string routing_store::TakeSnapshot() const {
  return EncodeBytes(
      stored_state{.changes = {.table = table_, .accepted = accepted_ids_},
                   .departures = departures_.All()});
}

bool routing_store::RestoreSnapshot(std::string_view snapshot) {
  auto state = DecodeBytes<stored_state>(snapshot);
  if (!state) {
    auto changes = DecodeBytes<table_state>(snapshot);
    if (!changes) return false;
    state = stored_state{.changes = std::move(changes).value()};
  }
  table_ = std::move(state.value().changes.table);
  accepted_ids_ = std::move(state.value().changes.accepted);
  departures_.Restore(std::move(state.value().departures));
  return true;
}

}  // namespace hornbeam
