// CPU time and memory metrics of the process.
#pragma once

#include "base/counter.h"
#include "base/gauge.h"

namespace hornbeam {

class metrics_registry;

// Fills the standard process_* metrics of a registry.
class process_metrics {
 public:
  // `registry` outlives this object.
  explicit process_metrics(metrics_registry& registry);

  // Updates the metrics; called before they are formatted.
  void Sample();

 private:
  counter& cpu_seconds_;
  gauge& resident_bytes_;
};

}  // namespace hornbeam
