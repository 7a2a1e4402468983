// Rate limit for the traffic of load probes.
#pragma once

#include <cstdint>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Maximum probe traffic in any window of the given length.
struct probe_budget_options {
  duration window = std::chrono::milliseconds(100);
  std::int64_t messages_per_window = 4;
  std::int64_t bytes_per_window = 1024;
  // Maximum that may be sent at once; the rest of the window's allowance
  // refills evenly. Clamped to the allowance.
  std::int64_t burst_messages = 2;
  std::int64_t burst_bytes = 512;
};

// Token bucket for messages and for bytes. At most the allowance is granted in
// every window, wherever it starts. The bucket starts empty, so that this also
// holds across restarts of the process. The ingress node spends from it before
// it sends a probe, the serving node before it answers one. Not thread-safe.
class probe_budget {
 public:
  // `clock` must outlive the budget.
  probe_budget(const clock_source& clock, probe_budget_options options);

  // Takes one message of `bytes` from the budget. Returns false, and takes
  // nothing, when the message does not fit.
  bool TrySpend(std::int64_t bytes);

 private:
  // `level` and `capacity` are in units times the microseconds of a window, so
  // that refilling is exact.
  struct bucket {
    std::int64_t level = 0;
    std::int64_t capacity = 0;
    std::int64_t refill_per_us = 0;
  };

  static bucket MakeBucket(std::int64_t allowance, std::int64_t burst,
                           std::int64_t window_us);
  void Refill();

  const clock_source& clock_;
  std::int64_t window_us_;
  bucket messages_;
  bucket bytes_;
  time_point refilled_at_;
};

}  // namespace hornbeam
