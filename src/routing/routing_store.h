// Replicated state machine that stores the routing table and the departures of
// upstreams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "base/state_machine.h"
#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"
#include "routing/departure_table.h"

namespace hornbeam {

// Holds the newest accepted table and the ids of recently accepted changes, so
// that an accepted change that is sent again is acknowledged again. Holds also
// the departures that nodes have confirmed to their upstreams. Owned by the
// replica host.
class routing_store final : public state_machine {
 public:
  // Number of remembered ids: several days at one change a minute.
  static constexpr std::size_t kRememberedChangeIds = 8192;
  // Limit on the encoded table: nodes that start get it in one message.
  static constexpr std::size_t kMaxTableBytes = std::size_t{3} << 20U;

  std::string Apply(const committed_entry& entry) override;
  [[nodiscard]] std::string Query(std::string_view query) const override;
  [[nodiscard]] std::string TakeSnapshot() const override;
  bool RestoreSnapshot(std::string_view snapshot) override;

 private:
  struct stored_state;
  // The state in snapshots from before there were departures.
  struct table_state;

  routing_reply Change(const routing_change& change);

  routing_table table_;
  std::deque<request_id> accepted_ids_;  // The oldest first.
  departure_table departures_;
};

}  // namespace hornbeam
