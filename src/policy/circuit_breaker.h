// Circuit breaker for an upstream that fails its calls.
//
// Load pattern: an upstream passes its health check and fails nearly every
// call, some of them immediately. It then looks idle and attracts more calls
// than the healthy upstreams. While the breaker is open, other upstreams get
// the calls, until a few consecutive trial calls have succeeded.
#pragma once

#include <cstddef>
#include <cstdint>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct circuit_breaker_options {
  // The breaker opens when this many of the last kWindowCalls calls failed. The
  // number is well above the failures caused by long work that exceeds its
  // deadline or by failing services that the upstream calls.
  int failures_to_open = 10;
  // Minimum time between two trial calls while the breaker is open: for
  // idempotent calls, and for others, whose failure costs the caller more.
  duration trial_interval = std::chrono::milliseconds(200);
  duration non_idempotent_trial_interval = std::chrono::milliseconds(1000);
  // Consecutive successful trial calls after which the breaker closes.
  int successes_to_close = 3;
};

// Runs at the upstream's serving node, which sees all calls of the upstream, as
// part of its state there. Not thread-safe.
class circuit_breaker {
 public:
  static constexpr int kWindowCalls = 16;

  explicit circuit_breaker(const circuit_breaker_options& options)
      : options_(options) {}

  // Records the result of a call dispatched to the upstream.
  // `was_open_at_start` is the value of IsOpen() when the call started: while
  // the breaker is open, a call that started before it opened does not count as
  // a trial.
  void Record(bool failed, bool was_open_at_start);
  // Returns whether a call may be dispatched now. While the breaker is open, a
  // result of true starts a trial.
  bool Admits(bool idempotent, time_point now);

  [[nodiscard]] bool IsOpen() const { return open_; }
  // Returns the share of failures among the last kWindowCalls calls, in
  // thousandths.
  [[nodiscard]] std::uint32_t FailurePerMille() const;

 private:
  const circuit_breaker_options options_;
  std::uint32_t recent_results_ = 0;  // One bit for each call, 1 for a failure.
  bool open_ = false;
  int consecutive_successes_ = 0;  // Of trials while the breaker is open.
  time_point trial_at_;
};

}  // namespace hornbeam
