#include "base/metrics_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <span>

namespace hornbeam {

namespace {

constexpr std::string_view kCounterKind = "counter";
constexpr std::string_view kGaugeKind = "gauge";
constexpr std::string_view kSummaryKind = "summary";

bool IsMetricNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_';
}

bool IsMetricName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, IsMetricNameChar);
}

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') out += '\\';
    out += c;
  }
}

std::string FormatLabels(std::span<const metric_label> labels) {
  if (labels.empty()) return {};
  std::string out = "{";
  for (const metric_label& label : labels) {
    if (out.size() > 1) out += ',';
    out += label.name;
    out += "=\"";
    AppendEscaped(out, label.value);
    out += '"';
  }
  return out + '}';
}

std::string FormatNumber(double number) {
  return std::isnan(number) ? "NaN" : fmt::format("{}", number);
}

void AppendSample(std::string& out, std::string_view name,
                  std::span<const metric_label> labels, double value) {
  fmt::format_to(std::back_inserter(out), "{}{} {}\n", name,
                 FormatLabels(labels), FormatNumber(value));
}

void AppendSummary(std::string& out, const std::string& name,
                   const metrics_registry::labels& labels,
                   const latency_summary& summary) {
  const auto quantiles = summary.Quantiles();
  for (std::size_t i = 0; i < quantiles.size(); ++i) {
    auto with_quantile = labels;
    with_quantile.push_back(
        {"quantile", fmt::format("{}", latency_summary::kQuantiles.at(i))});
    AppendSample(out, name, with_quantile, quantiles.at(i));
  }
  AppendSample(out, name + "_sum", labels, summary.SumSeconds());
  AppendSample(out, name + "_count", labels,
               static_cast<double>(summary.Count()));
}

// Sorts labels by name, so that the same labels in another order identify the
// same metric.
metrics_registry::labels Sorted(metrics_registry::labels labels) {
  std::ranges::sort(labels);
  return labels;
}

}  // namespace

struct metrics_registry::family_entry {
  std::string help;
  std::string_view kind;
  std::map<labels, counter> counters;
  std::map<labels, gauge> gauges;
  std::map<labels, latency_summary> summaries;
};

metrics_registry::metrics_registry(const clock_source& clock) : clock_(clock) {}

metrics_registry::~metrics_registry() = default;

metrics_registry::family_entry& metrics_registry::GetFamily(
    const metric_family& family, std::string_view kind_name) {
  assert(IsMetricName(family.name));
  auto found = families_.find(family.name);
  if (found == families_.end()) {
    auto entry = std::make_unique<family_entry>();
    entry->help = family.help;
    entry->kind = kind_name;
    found = families_.emplace(family.name, std::move(entry)).first;
  }
  assert(found->second->kind == kind_name);
  return *found->second;
}

counter& metrics_registry::GetCounter(const metric_family& family,
                                      labels label_set) {
  auto& entry = GetFamily(family, kCounterKind);
  return entry.counters[Sorted(std::move(label_set))];
}

gauge& metrics_registry::GetGauge(const metric_family& family,
                                  labels label_set) {
  auto& entry = GetFamily(family, kGaugeKind);
  return entry.gauges[Sorted(std::move(label_set))];
}

latency_summary& metrics_registry::GetLatency(const metric_family& family,
                                              labels label_set) {
  auto& entry = GetFamily(family, kSummaryKind);
  return entry.summaries.try_emplace(Sorted(std::move(label_set)), clock_)
      .first->second;
}

std::string metrics_registry::FormatText() const {
  std::string out;
  for (const auto& [name, entry] : families_) {
    fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n",
                   name, entry->help, name, entry->kind);
    for (const auto& [label_set, metric] : entry->counters) {
      AppendSample(out, name, label_set, metric.Value());
    }
    for (const auto& [label_set, metric] : entry->gauges) {
      AppendSample(out, name, label_set, metric.Value());
    }
    for (const auto& [label_set, metric] : entry->summaries) {
      AppendSummary(out, name, label_set, metric);
    }
  }
  return out;
}

}  // namespace hornbeam
