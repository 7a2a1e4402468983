// Estimates the time that a call takes at an upstream, from load reports and
// the ingress node's own observations.
#pragma once

#include <cstdint>
#include <span>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"
#include "policy/candidate.h"

namespace hornbeam {

struct expected_wait_options {
  // Half-life of the counts in a report: as the report ages, the estimate moves
  // from its counts towards the mean of all candidates.
  duration count_half_life = std::chrono::seconds(1);
  // Time added to the score of an upstream at a failure share of 1.
  duration failure_penalty = std::chrono::seconds(2);
  // Network round trips by distance.
  duration same_zone_round_trip = std::chrono::microseconds(300);
  duration other_zone_round_trip = std::chrono::milliseconds(3);
  duration other_region_round_trip = std::chrono::milliseconds(20);
  // Values assumed while neither a report nor an observation exists.
  duration default_short_time = std::chrono::milliseconds(10);
  duration default_long_time = std::chrono::milliseconds(500);
  std::uint32_t default_slots = 20;
  // Share of the slots that long calls may occupy.
  double long_share = 0.5;
};

// Mean load of the candidates. The estimate of an upstream moves towards it as
// the upstream's report ages. Shares are shares of the slots.
struct mean_load {
  double running_short_share = 0;
  double running_long_share = 0;
  double queued_short_share = 0;
  double queued_long_share = 0;
  double short_time_us = 0;
  double long_time_us = 0;
};

// Components of one score, in microseconds.
struct wait_score {
  double wait_us = 0;        // Time until a slot is free.
  double service_us = 0;     // Service time of the upstream.
  double round_trip_us = 0;  // Network round trip.
  double penalty_us = 0;     // Penalty for failures and overdue calls.

  [[nodiscard]] double TotalUs() const {
    return wait_us + service_us + round_trip_us + penalty_us;
  }
};

// Computes the score of a candidate; a lower score is better. Stateless and
// thread-safe.
class expected_wait {
 public:
  explicit expected_wait(expected_wait_options options = {});

  // Returns the mean over the candidates that reported at least one slot. A
  // class without any reported service time gets its default time.
  [[nodiscard]] mean_load Mean(std::span<const candidate> candidates) const;
  // Returns the score of `upstream` for a call of class `kind`. `mean` is the
  // result of Mean for all candidates of the call.
  [[nodiscard]] wait_score Score(const candidate& upstream, call_class kind,
                                 const mean_load& mean) const;

 private:
  // Estimated current state of the upstream.
  struct slot_state {
    double slots = 0;
    double running_short = 0;
    double running_long = 0;
    double queued_short = 0;
    double queued_long = 0;
    double short_us = 0;  // Service time of short calls.
    double long_us = 0;   // Service time of long calls.
  };

  [[nodiscard]] slot_state Estimate(const candidate& upstream,
                                    const mean_load& mean) const;
  [[nodiscard]] double LongSlots(const slot_state& state) const;
  [[nodiscard]] double ShortWaitUs(const slot_state& state) const;
  [[nodiscard]] double RoundTripUs(zone_distance distance) const;
  [[nodiscard]] double WaitUs(const candidate& upstream, call_class kind,
                              const mean_load& mean) const;
  [[nodiscard]] double ServiceUs(const candidate& upstream, call_class kind,
                                 const mean_load& mean) const;
  [[nodiscard]] double PenaltyUs(const candidate& upstream, call_class kind,
                                 double expected_us) const;

  expected_wait_options options_;
};

}  // namespace hornbeam
