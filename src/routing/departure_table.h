// The departures of upstreams that nodes have confirmed.
#pragma once

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "hornbeam/upstream_departure.h"

namespace hornbeam {

// Keeps the latest departures, of which the oldest are dropped beyond a limit.
// Deterministic; owned by the routing store.
class departure_table {
 public:
  // Several releases of a fleet of 1,300 upstreams.
  static constexpr std::size_t kMaxDepartures = 8192;
  // Of one node. The longest delay of a late announcement covers no more
  // replacements of its upstream.
  static constexpr std::size_t kMaxDeparturesPerNode = 4;

  // Adds a departure. One with the same node and instance replaces the earlier
  // one, but a later start that is known is kept.
  void Record(upstream_departure departure);
  // Returns the departures of `node`, the oldest first.
  [[nodiscard]] std::vector<upstream_departure> Of(std::string_view node) const;

  [[nodiscard]] const std::deque<upstream_departure>& All() const {
    return departures_;
  }
  void Restore(std::deque<upstream_departure> departures) {
    departures_ = std::move(departures);
  }

 private:
  std::deque<upstream_departure> departures_;  // The oldest first.
};

}  // namespace hornbeam
