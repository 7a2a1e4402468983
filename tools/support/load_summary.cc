#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <functional>

#include "support/load_plan.h"

namespace hornbeam {

namespace {

namespace json = boost::json;

constexpr std::array kKinds = {call_kind::kLookup, call_kind::kHistory,
                               call_kind::kFiling, call_kind::kResend};
constexpr std::array<std::string_view, 4> kKindNames = {"lookup", "history",
                                                        "filing", "resend"};
constexpr std::array<std::string_view, 5> kCallStatusNames = {
    "answered", "not-run", "unknown", "failed", "wrong"};

// Returns the nearest-rank quantile; 0 when there are no values.
double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void Count(const call_sample& sample, load_summary& summary) {
  ++summary.sent;
  switch (sample.result) {
    case call_status::kAnswered:
      ++summary.answered;
      break;
    case call_status::kNotRun:
      ++summary.not_run;
      break;
    case call_status::kUnknown:
      ++summary.unknown;
      break;
    case call_status::kFailed:
      ++summary.failed;
      break;
    case call_status::kWrong:
      ++summary.wrong;
      break;
  }
}

load_summary SummariseIf(
    const load_result& result,
    const std::function<bool(const call_sample&)>& is_wanted) {
  load_summary summary;
  std::vector<double> latencies;
  for (const call_sample& sample : result.calls) {
    if (!is_wanted(sample)) continue;
    Count(sample, summary);
    if (sample.result != call_status::kAnswered) continue;
    latencies.push_back(
        std::chrono::duration<double, std::milli>(sample.latency).count());
  }
  std::ranges::sort(latencies);
  summary.p50_ms = Quantile(latencies, 0.5);
  summary.p99_ms = Quantile(latencies, 0.99);
  summary.p999_ms = Quantile(latencies, 0.999);
  return summary;
}

std::string FormatRow(std::string_view name, const load_summary& row) {
  return fmt::format(
      "{:<8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9.2f} {:>9.2f} {:>9.2f}\n",
      name, row.sent, row.answered, row.not_run, row.unknown, row.failed,
      row.wrong, row.p50_ms, row.p99_ms, row.p999_ms);
}

json::object ToJson(const load_summary& row) {
  return {{"sent", row.sent},       {"answered", row.answered},
          {"not_run", row.not_run}, {"unknown", row.unknown},
          {"failed", row.failed},   {"wrong", row.wrong},
          {"p50_ms", row.p50_ms},   {"p99_ms", row.p99_ms},
          {"p999_ms", row.p999_ms}};
}

}  // namespace

load_summary Summarise(const load_result& result, call_kind kind) {
  return SummariseIf(result, [kind](const call_sample& sample) {
    return sample.kind == kind;
  });
}

load_summary Summarise(const load_result& result) {
  return SummariseIf(result, [](const call_sample&) { return true; });
}

std::string_view KindName(call_kind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::string_view CallStatusName(call_status status) {
  return kCallStatusNames[static_cast<std::size_t>(status)];
}

std::string FormatText(const load_result& result) {
  std::string text = fmt::format(
      "{:<8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9}\n", "calls",
      "sent", "answered", "not-run", "unknown", "failed", "wrong", "p50 ms",
      "p99 ms", "p99.9 ms");
  for (const call_kind kind : kKinds) {
    text += FormatRow(KindName(kind), Summarise(result, kind));
  }
  text += FormatRow("all", Summarise(result));
  for (const std::string& failure : result.failures) {
    text += fmt::format("failure: {}\n", failure);
  }
  return text;
}

std::string FormatJson(const load_result& result) {
  json::object body;
  for (const call_kind kind : kKinds) {
    body[KindName(kind)] = ToJson(Summarise(result, kind));
  }
  body["all"] = ToJson(Summarise(result));
  body["moved"] = result.retries;
  return json::serialize(body);
}

}  // namespace hornbeam
