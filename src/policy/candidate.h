// State of one upstream, as known to an ingress node when it selects the
// upstream of a call.
#pragma once

#include <cstdint>

#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"
#include "policy/upstream_id.h"

namespace hornbeam {

// Network distance between an upstream and the ingress node.
enum class zone_distance : std::uint8_t {
  kSameNode,
  kSameZone,
  kOtherZone,
  kOtherRegion,
};

// The ingress node's own observations of its calls of one class at one
// upstream.
struct class_observation {
  std::uint32_t outstanding = 0;   // Dispatched calls that have not completed.
  std::uint32_t unreported = 0;    // Outstanding calls that the report omits.
  duration latency{0};             // Smoothed, of answered calls; 0 if unknown.
  duration oldest_outstanding{0};  // Age of the oldest outstanding call.
};

// The last accepted load report with its age, and the ingress node's own
// observations.
struct upstream_load {
  load_report report;
  bool has_report = false;
  duration report_age{0};
  class_observation short_calls;
  class_observation long_calls;
  double failure_share = 0;  // Share of recent calls that failed, in [0, 1].
};

// One upstream that a picker may choose.
struct candidate {
  upstream_id id;
  zone_distance distance = zone_distance::kSameZone;
  upstream_load load;
};

}  // namespace hornbeam
