// The load of one upstream as its own node sees it.
#pragma once

#include <cstdint>

namespace hornbeam {

// Rides on every answer, refusal and probe reply. Counts are of calls; times
// are in microseconds.
struct load_report {
  std::uint64_t incarnation = 0;  // Of the serving node's process.
  std::uint64_t sequence = 0;     // Grows with each report of one incarnation.
  std::uint32_t slot_limit = 0;   // Calls that the upstream may run at once.
  std::uint32_t running_short = 0;
  std::uint32_t running_long = 0;
  std::uint32_t queued_short = 0;
  std::uint32_t queued_long = 0;
  std::uint32_t service_time_short_us = 0;  // Smoothed; 0 while unknown.
  std::uint32_t service_time_long_us = 0;   // Smoothed; 0 while unknown.
  std::uint32_t failure_per_mille = 0;      // Recent share of failed calls.
  // How long work takes now, in hundredths of the usual time, as the upstream
  // itself says; 100 where it says nothing.
  std::uint32_t slowdown_percent = 100;
  // Until a slot is expected for a call that comes now, behind all that waits.
  std::uint32_t backlog_us = 0;
  bool draining = false;

  bool operator==(const load_report&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence, slot_limit, running_short, running_long,
            queued_short, queued_long, service_time_short_us,
            service_time_long_us, failure_per_mille, slowdown_percent,
            backlog_us, draining);
  }
};

}  // namespace hornbeam
