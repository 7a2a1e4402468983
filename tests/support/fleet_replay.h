// Discrete-time replay of a fleet: many ingress nodes place the calls of one
// service on its upstreams, each with only the load reports that came back with
// its own calls.
//
// Load pattern: at a few nodes each ingress hears from every upstream many
// times a second; at two hundred a pair talks every ten seconds, so reports are
// older than the load that they describe.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/zone_aware_selection.h"

namespace hornbeam {

struct replay_route {
  double work_ms = 0;  // Mean service time.
  double objective_ms = 0;
  double deadline_ms = 0;
};

struct fleet_replay_options {
  std::size_t nodes = 185;  // Each is an ingress.
  std::size_t upstreams = 55;
  std::size_t zones = 5;
  std::uint32_t slots = 13;
  // Share of short calls, which other services make; the rest is long.
  double short_share = 0.4;
  replay_route short_route{
      .work_ms = 100, .objective_ms = 300, .deadline_ms = 1200};
  replay_route long_route{
      .work_ms = 440, .objective_ms = 1500, .deadline_ms = 4000};
  double load = 0.5;  // Arrivals as a share of the full-speed capacity.
  // Each upstream is five times slower for 150 ms at a time, a quarter of the
  // time.
  bool slowdowns = false;
  std::size_t max_rejections = 3;
  std::size_t cold_upstreams = 0;  // Join after a third of the time.
  double seconds = 20;
  std::uint64_t seed = 1;
  // Places every call with the true state of all upstreams.
  bool oracle = false;
  zone_selection_options placement;
};

struct fleet_replay_result {
  std::size_t calls = 0;
  std::size_t in_time = 0;  // Answered within the objective.
  std::size_t answered = 0;
  std::size_t rejected = 0;
  std::size_t dispatches = 0;
  std::size_t first_rejected = 0;  // First dispatches that were rejected.
  // Rejected calls at whose end an upstream had a free slot.
  std::size_t rejected_with_room = 0;
  std::size_t other_zone = 0;      // Answered by another zone.
  std::size_t idle_upstreams = 0;  // Received no call.
  std::size_t idle_joined = 0;     // The same, of those that joined.
  double report_age_ms = 0;        // Mean age of a report at a choice.
  double fresh_share = 0;  // Share of choices whose report was still in use.
  double mean_ms = 0;

  [[nodiscard]] double InTimeShare() const {
    return static_cast<double>(in_time) / static_cast<double>(calls);
  }
};

fleet_replay_result ReplayFleet(const fleet_replay_options& options);

}  // namespace hornbeam
