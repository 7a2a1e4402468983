// Load of a load generator, the results of its calls and their summary.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// The kinds of calls in a mix: short reads, long reads, non-idempotent calls
// with an idempotency key, and copies of those with the same key.
enum class call_kind : std::uint8_t { kLookup, kHistory, kFiling, kResend };

// Result of a call as its caller received it.
enum class call_status : std::uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  kFailed,  // Failed without an outcome: an upstream's error, or no response.
  kWrong,   // An answer that is incomplete or belongs to another call.
};

// Rates are in calls per second over all nodes and services.
struct load_plan {
  std::vector<std::string> nodes;     // Caller listeners; at least one.
  std::vector<std::string> services;  // At least one.
  double rate = 100;
  std::chrono::milliseconds duration{5000};
  std::size_t max_calls = 1'000'000;
  double history_share = 0.02;
  double filing_share = 0.1;
  double resend_share = 0.3;   // Share of filings resent through other nodes.
  std::size_t resends = 2;     // How often such a filing is resent.
  bool eager_resends = false;  // Resends do not wait for the first answer.
  // A load peak: once in each `peak_period`, for `peak_length`, the rate is
  // multiplied by `peak_factor`. It rises and falls within `peak_ramp`.
  double peak_factor = 1;
  std::chrono::milliseconds peak_period{2000};
  std::chrono::milliseconds peak_length{500};
  std::chrono::milliseconds peak_ramp{100};
  std::chrono::milliseconds deadline{0};  // Sent with each call unless 0.
  std::chrono::milliseconds timeout{15000};
  std::size_t connections_per_node = 260;
  std::uint64_t seed = 1;
};

// Result and latency of one call, as its caller saw them.
struct call_sample {
  call_kind kind = call_kind::kLookup;
  call_status result = call_status::kFailed;
  int status = 0;                        // 0: no response.
  std::chrono::microseconds intended{};  // Due time since the start.
  std::chrono::microseconds latency{};   // From the due time to the response.
};

// The results of one filing and of its resends.
struct filing_result {
  std::string key;
  std::vector<call_status> copies;
};

struct load_result {
  std::vector<call_sample> calls;
  std::vector<filing_result> filings;
  // Calls sent again because an idle connection was closed, or to another node
  // because one could not be connected to.
  std::size_t retries = 0;
  std::vector<std::string> failures;  // Descriptions of the first few failures.
};

// Counts and latency percentiles of a set of calls.
struct load_summary {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t failed = 0;
  std::size_t wrong = 0;
  double p50_ms = 0;  // Percentiles are over answered calls only.
  double p99_ms = 0;
  double p999_ms = 0;
};

// Summarises the calls of one kind.
load_summary Summarise(const load_result& result, call_kind kind);
// Summarises all calls.
load_summary Summarise(const load_result& result);

// Return the name of a kind or status in reports.
std::string_view KindName(call_kind kind);
std::string_view CallStatusName(call_status status);

// Returns a table with a row for each kind and for all calls, followed by the
// recorded failures.
std::string FormatText(const load_result& result);
// Returns the rows of the table and the number of retries as a JSON object.
std::string FormatJson(const load_result& result);

}  // namespace hornbeam
