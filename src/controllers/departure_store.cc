#include "controllers/departure_store.h"

#include "base/store_client.h"
#include "routing/routing_codec.h"

namespace hornbeam {

namespace {

class replicated_departure_store final : public departure_store {
 public:
  replicated_departure_store(const clock_source& clock, store_client& store)
      : clock_(clock), store_(store) {}

  bool Record(const upstream_departure& departure,
              time_point deadline) override {
    const std::string command = EncodeDeparture(departure);
    while (clock_.Now() < deadline) {
      const auto bytes = store_.Propose(store_id::kRouting, command, deadline);
      // A record that may have been accepted can be repeated.
      if (!bytes && bytes.error() == store_error::kTimeout) continue;
      if (!bytes) return false;
      const auto reply = DecodeRoutingReply(bytes.value());
      return reply && reply->verdict == routing_verdict::kAccepted;
    }
    return false;
  }

  std::optional<std::vector<upstream_departure>> Read(
      std::string_view node, time_point deadline) override {
    const auto bytes =
        store_.Query(store_id::kRouting, EncodeDepartureQuery(node), deadline);
    if (!bytes) return std::nullopt;
    return DecodeDepartures(bytes.value());
  }

 private:
  const clock_source& clock_;
  store_client& store_;
};

}  // namespace

std::unique_ptr<departure_store> departure_store::MakeReplicatedStore(
    const clock_source& clock, store_client& store) {
  return std::make_unique<replicated_departure_store>(clock, store);
}

}  // namespace hornbeam
