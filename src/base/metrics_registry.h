// Registry of the metrics of one process and their text format.
#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/counter.h"
#include "base/gauge.h"
#include "base/latency_summary.h"
#include "hornbeam/clock_source.h"

namespace hornbeam {

// One label of a metric.
struct metric_label {
  std::string name;
  std::string value;

  auto operator<=>(const metric_label&) const = default;
};

// Name and help text of a metric family. Names follow the conventions of the
// Prometheus text format: prefix hornbeam_, unit, and _total on counters.
struct metric_family {
  std::string_view name;
  std::string_view help;
};

// Owns the metrics. References to metrics stay valid as long as the registry,
// so users look each metric up once and keep the reference. Not thread-safe;
// used by one thread.
class metrics_registry {
 public:
  using labels = std::vector<metric_label>;

  // `clock` outlives the registry.
  explicit metrics_registry(const clock_source& clock);
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;
  ~metrics_registry();

  // Each returns the metric with exactly these labels and creates it if there
  // is none. All metrics of a family have the same kind; requesting another
  // kind violates an invariant.
  counter& GetCounter(const metric_family& family, labels label_set = {});
  gauge& GetGauge(const metric_family& family, labels label_set = {});
  latency_summary& GetLatency(const metric_family& family,
                              labels label_set = {});

  // Returns all metrics in the Prometheus text format 0.0.4, sorted by name.
  [[nodiscard]] std::string FormatText() const;

 private:
  struct family_entry;

  family_entry& GetFamily(const metric_family& family,
                          std::string_view kind_name);

  const clock_source& clock_;
  std::map<std::string, std::unique_ptr<family_entry>, std::less<>> families_;
};

// Content type of FormatText's output.
inline constexpr std::string_view kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace hornbeam
