#include "policy/probe_budget.h"

#include <algorithm>

namespace hornbeam {

probe_budget::probe_budget(const clock_source& clock,
                           probe_budget_options options)
    : clock_(clock),
      window_us_(std::max<std::int64_t>(options.window.count(), 1)),
      messages_(MakeBucket(options.messages_per_window, options.burst_messages,
                           window_us_)),
      bytes_(MakeBucket(options.bytes_per_window, options.burst_bytes,
                        window_us_)),
      refilled_at_(clock.Now()) {}

probe_budget::bucket probe_budget::MakeBucket(std::int64_t allowance,
                                              std::int64_t burst,
                                              std::int64_t window_us) {
  const std::int64_t total = std::max<std::int64_t>(allowance, 0);
  const std::int64_t burst_units = std::clamp<std::int64_t>(burst, 0, total);
  return bucket{.level = 0,
                .capacity = burst_units * window_us,
                .refill_per_us = total - burst_units};
}

bool probe_budget::TrySpend(std::int64_t bytes) {
  Refill();
  if (bytes < 0 || bytes > bytes_.capacity / window_us_) return false;
  const std::int64_t message_cost = window_us_;
  const std::int64_t byte_cost = bytes * window_us_;
  if (messages_.level < message_cost || bytes_.level < byte_cost) return false;
  messages_.level -= message_cost;
  bytes_.level -= byte_cost;
  return true;
}

void probe_budget::Refill() {
  const time_point now = clock_.Now();
  const std::int64_t elapsed_us = (now - refilled_at_).count();
  refilled_at_ = now;
  for (bucket* each : {&messages_, &bytes_}) {
    const std::int64_t missing = each->capacity - each->level;
    if (each->refill_per_us == 0) continue;
    // A bucket that is full by now is filled directly, so that the product of
    // rate and elapsed time cannot overflow after a long pause. A bucket needs
    // longer than one window to fill when its burst is more than half of the
    // allowance.
    const bool fills_up = elapsed_us >= missing / each->refill_per_us + 1;
    each->level += fills_up ? missing : each->refill_per_us * elapsed_us;
    each->level = std::min(each->level, each->capacity);
  }
}

}  // namespace hornbeam
