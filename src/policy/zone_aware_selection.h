// Zone-aware upstream selection: prefers the caller's availability zone while a
// slot is expected there in time.
//
// Load pattern: zones get uneven shares of the callers, every load report is
// stale when it arrives, and an upstream slows down for a fraction of a second
// without warning. Traffic between zones is costly, so a call leaves its zone
// only when waiting within the zone would make it miss its objective. In a
// fleet of hundreds of nodes most reports are older than their lifetime, and
// some upstreams have none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"

namespace hornbeam {

// What a node knows about one upstream.
struct zone_candidate {
  bool same_zone = false;  // In the caller's availability zone.
  load_report report;
  bool reported = false;  // Whether `report` has been received.
  duration report_age{};
  // Calls that this node dispatched since the report and that still run.
  std::uint32_t dispatched_since_report = 0;
  duration cross_zone_round_trip{};  // Zero within the zone.
};

struct zone_selection_options {
  // Share of its slack before the objective that a call without a body may wait
  // in its own zone, and the increase of that share for each KiB that would
  // cross zones.
  double wait_share = 0.4;
  double wait_share_per_kib = 0.12;
  double max_wait_share = 0.95;
  // The same share for a call sent to another zone: its bytes have crossed
  // already.
  double other_zone_wait_share = 0.6;
  // Age at which the counts and the failure share of a load report are no
  // longer used. The weight of the counts falls linearly until then.
  duration report_lifetime = std::chrono::milliseconds(1000);
  // An upstream with at least this share of failures among its recent calls is
  // chosen only when all others fail as well.
  std::uint32_t failing_per_mille = 600;
  // An upstream counts as slow when its service time is above this many times
  // the mean of all.
  int slow_time_factor = 2;
  // Costs that differ by less than this share of the remaining objective, or by
  // less than the minimum, are equal: the reports are older than such a
  // difference, and nodes that all choose the best one overload it.
  double equal_share = 0.05;
  duration min_tolerance = std::chrono::milliseconds(1);
  // Typical length of a transient slowdown. The slowdown in an older report is
  // ignored.
  duration slowdown_length = std::chrono::milliseconds(150);
};

// Returns the expected wait for a slot at the candidate; zero without a report.
duration ExpectedWaitAt(const zone_candidate& candidate,
                        const zone_selection_options& options);

// Returns the wait for a slot behind all calls queued at the candidate, from
// which the retry time of a rejected caller is derived.
duration BacklogAt(const zone_candidate& candidate,
                   const zone_selection_options& options);

// Returns the share of its slack before the objective that a call may wait in
// its own zone when `bytes` of request and answer would otherwise cross zones.
double SameZoneWaitShare(double bytes, const zone_selection_options& options);

// Returns the index of the chosen candidate; std::nullopt without candidates.
// `objective_left` may be negative. `bytes` is the size of request and answer.
// `random` draws two of the candidates that cost about the same; the less
// occupied one is chosen, so that nodes with the same reports do not all choose
// the same upstream.
std::optional<std::size_t> SelectZoneAware(
    std::span<const zone_candidate> candidates, duration objective_left,
    double bytes, std::uint64_t random, const zone_selection_options& options);

}  // namespace hornbeam
