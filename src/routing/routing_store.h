// The replicated routing table.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "base/state_machine.h"
#include "hornbeam/routing_change.h"
#include "hornbeam/routing_table.h"

namespace hornbeam {

// Holds the newest accepted version and the ids of the changes that led to it,
// so that a resend of an accepted change is acknowledged again. Owned by the
// replica host.
class routing_store final : public state_machine {
 public:
  // Ids that are remembered: days of changes at a change a minute.
  static constexpr std::size_t kKeptChanges = 8192;

  std::string Apply(const committed_entry& entry) override;
  [[nodiscard]] std::string Query(std::string_view query) const override;
  [[nodiscard]] std::string TakeSnapshot() const override;
  bool RestoreSnapshot(std::string_view snapshot) override;

 private:
  struct stored_state;

  routing_reply Change(const routing_change& change);

  routing_table table_;
  std::deque<request_id> accepted_;  // The oldest first.
};

}  // namespace hornbeam
