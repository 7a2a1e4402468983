#include "policy/circuit_breaker.h"

#include <bit>

namespace hornbeam {

void circuit_breaker::Record(bool failed, bool was_open_at_start) {
  constexpr std::uint32_t kMask = (1U << kWindowCalls) - 1;
  recent_results_ = ((recent_results_ << 1U) | (failed ? 1U : 0U)) & kMask;
  if (!open_) {
    open_ = std::popcount(recent_results_) >= options_.failures_to_open;
    consecutive_successes_ = 0;
    return;
  }
  if (!was_open_at_start) return;
  consecutive_successes_ = failed ? 0 : consecutive_successes_ + 1;
  if (consecutive_successes_ < options_.successes_to_close) return;
  open_ = false;
  recent_results_ = 0;
}

bool circuit_breaker::Admits(bool idempotent, time_point now) {
  if (!open_) return true;
  const duration interval = idempotent ? options_.trial_interval
                                       : options_.non_idempotent_trial_interval;
  if (now - trial_at_ < interval) return false;
  trial_at_ = now;
  return true;
}

std::uint32_t circuit_breaker::FailurePerMille() const {
  constexpr std::uint32_t kPerMille = 1000;
  return static_cast<std::uint32_t>(std::popcount(recent_results_)) *
         kPerMille / kWindowCalls;
}

}  // namespace hornbeam
