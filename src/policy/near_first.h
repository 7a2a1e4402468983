// Which upstream gets a call: the nearest that has room in time.
//
// Load pattern: zones get uneven shares of the callers, every load report is
// stale when it arrives, and an upstream slows down for a fraction of a second
// without warning. Bytes that cross zones are dear, so a call crosses only when
// waiting near by would cost it its objective.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"

namespace hornbeam {

// What is known of one upstream.
struct near_candidate {
  bool near = false;  // In the caller's availability zone.
  load_report report;
  bool reported = false;  // Whether `report` says anything.
  duration report_age{};
  // Dispatched here and not ended since the report.
  std::uint32_t own_since = 0;
  duration crossing{};  // There and back.
};

struct near_first_options {
  // Share of the time that the objective leaves which a call without a body may
  // wait near by before it crosses zones, and what each KiB that would cross
  // adds to it.
  double wait_share = 0.4;
  double wait_share_per_kib = 0.12;
  double most_wait_share = 0.95;
  // The same for a call that has crossed: no more bytes are at stake.
  double far_wait_share = 0.6;
  // After so long a report of load says nothing any more.
  duration report_lifetime = std::chrono::milliseconds(1000);
  // An upstream that failed so much of its last work is chosen only when there
  // is no other.
  std::uint32_t failing_per_mille = 600;
  // How many times as long as the others one takes that has told nothing yet.
  int new_time_factor = 2;
  // A slow spell lasts about so long; older figures say nothing of it.
  duration slow_spell = std::chrono::milliseconds(150);
};

// The expected wait for a slot there.
duration ExpectedWaitAt(const near_candidate& candidate,
                        const near_first_options& options);

// The wait for a slot behind everything that waits there: a rejected caller's.
duration BacklogAt(const near_candidate& candidate,
                   const near_first_options& options);

// The share of the wait that its objective leaves which a call may use up near
// by, when `bytes` of request and answer would cross zones.
double NearWaitShare(double bytes, const near_first_options& options);

// The index of the choice; nothing for no candidates. `objective_left` may be
// negative. `tie` breaks ties, so that nodes do not all choose the same.
std::optional<std::size_t> ChooseNearFirst(
    std::span<const near_candidate> candidates, duration objective_left,
    double bytes, std::uint64_t tie, const near_first_options& options);

}  // namespace hornbeam
