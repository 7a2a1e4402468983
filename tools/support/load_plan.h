// What a load generator is to send, and what came of it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

// The kinds of calls in a mix.
enum class call_kind : std::uint8_t { kLookup, kHistory, kFiling, kResend };

// What the caller was told.
enum class call_status : std::uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  kFailed,  // A failure without an outcome: the upstream's own, or no answer.
  kWrong,   // An answer that is not whole or belongs to another call.
};

// Rates are of calls per second over all nodes and services.
struct load_plan {
  std::vector<std::string> nodes;     // Caller listeners; at least one.
  std::vector<std::string> services;  // At least one.
  double rate = 100;
  std::chrono::milliseconds duration{5000};
  std::size_t max_calls = 1'000'000;
  double history_share = 0.02;
  double filing_share = 0.1;
  double resend_share =
      0.3;                  // Share of filings sent again through other nodes.
  std::size_t resends = 2;  // How often such a filing is sent again.
  bool eager_resends = false;  // Resends don't wait for the first answer.
  // A swing: every `swing_period`, for `swing_length`, the rate is multiplied,
  // rising and falling within `swing_ramp`.
  double swing_factor = 1;
  std::chrono::milliseconds swing_period{2000};
  std::chrono::milliseconds swing_length{500};
  std::chrono::milliseconds swing_ramp{100};
  std::chrono::milliseconds deadline{0};  // Sent with each call; 0: none.
  std::chrono::milliseconds timeout{15000};
  std::size_t connections_per_node = 260;
  std::uint64_t seed = 1;
};

// One call as its caller saw it.
struct call_sample {
  call_kind kind = call_kind::kLookup;
  call_status fate = call_status::kFailed;
  int status = 0;                        // 0: no answer came.
  std::chrono::microseconds intended{};  // When it was due, from the start.
  std::chrono::microseconds latency{};   // From when it was due to its end.
};

// One filing with what its copies were told.
struct filing_fate {
  std::string key;
  std::vector<call_status> copies;
};

struct load_result {
  std::vector<call_sample> calls;
  std::vector<filing_fate> filings;
  std::size_t moved = 0;  // Sent again because a connection was closed idle, or
                          // to another node because one refused to connect.
  std::vector<std::string> faults;  // The first few, in plain words.
};

// Counts and latencies of some calls.
struct load_summary {
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t failed = 0;
  std::size_t wrong = 0;
  double p50_ms = 0;  // Latencies are of answered calls only.
  double p99_ms = 0;
  double p999_ms = 0;
};

// The summary of the calls of one kind.
load_summary Summarise(const load_result& result, call_kind kind);
// The summary of all calls.
load_summary Summarise(const load_result& result);

std::string_view KindName(call_kind kind);
std::string_view CallStatusName(call_status fate);

// A table with a row for each kind, and the same as a JSON object.
std::string FormatText(const load_result& result);
std::string FormatJson(const load_result& result);

}  // namespace hornbeam
