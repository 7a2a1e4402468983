// Load of one upstream as measured by its serving node.
#pragma once

#include <cstdint>

namespace hornbeam {

// Included in every answer, rejection and probe reply. Counts are numbers of
// calls; times are in microseconds.
struct load_report {
  std::uint64_t incarnation = 0;  // Incarnation of the serving node.
  std::uint64_t sequence = 0;     // Increases within one incarnation.
  std::uint32_t slot_limit = 0;   // Maximum number of running calls.
  std::uint32_t running_short = 0;
  std::uint32_t running_long = 0;
  std::uint32_t queued_short = 0;
  std::uint32_t queued_long = 0;
  std::uint32_t service_time_short_us = 0;  // Moving average; 0 if unknown.
  std::uint32_t service_time_long_us = 0;   // Moving average; 0 if unknown.
  std::uint32_t failure_per_mille = 0;      // Recent share of failed calls.
  // Current service time as a percentage of the usual one, as reported by the
  // upstream; 100 if it reports none.
  std::uint32_t slowdown_percent = 100;
  // Estimated time until a call that arrives now gets a slot, behind all queued
  // calls.
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
