// Durable record of the departures that a node has confirmed to its upstream.
#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/upstream_departure.h"

namespace hornbeam {

class store_client;

// Owned by the daemon. Calls block the calling fiber until `deadline` at the
// latest.
class departure_store {
 public:
  // Keeps the departures in the replicated routing store. `clock` and `store`
  // outlive the result.
  static std::unique_ptr<departure_store> MakeReplicatedStore(
      const clock_source& clock, store_client& store);

  departure_store() = default;
  departure_store(const departure_store&) = delete;
  departure_store& operator=(const departure_store&) = delete;
  virtual ~departure_store() = default;

  // Returns whether the departure is durable. One that is recorded again
  // changes nothing.
  virtual bool Record(const upstream_departure& departure,
                      time_point deadline) = 0;
  // Returns the departures recorded for `node`, the oldest first, with all that
  // were durable before the call; std::nullopt if these cannot be determined.
  virtual std::optional<std::vector<upstream_departure>> Read(
      std::string_view node, time_point deadline) = 0;
};

}  // namespace hornbeam
