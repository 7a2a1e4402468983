#include "policy/failure_gate.h"

#include <bit>

namespace hornbeam {

void failure_gate::Record(bool failed, bool began_shut) {
  constexpr std::uint32_t kMask = (1U << kRemembered) - 1;
  last_ = ((last_ << 1U) | (failed ? 1U : 0U)) & kMask;
  if (!shut_) {
    shut_ = std::popcount(last_) >= options_.failures_to_shut;
    successes_ = 0;
    return;
  }
  if (!began_shut) return;
  successes_ = failed ? 0 : successes_ + 1;
  if (successes_ < options_.successes_to_open) return;
  shut_ = false;
  last_ = 0;
}

bool failure_gate::Admits(bool idempotent, time_point now) {
  if (!shut_) return true;
  const duration interval =
      idempotent ? options_.trial_interval : options_.costly_trial_interval;
  if (now - trial_at_ < interval) return false;
  trial_at_ = now;
  return true;
}

std::uint32_t failure_gate::FailurePerMille() const {
  constexpr std::uint32_t kPerMille = 1000;
  return static_cast<std::uint32_t>(std::popcount(last_)) * kPerMille /
         kRemembered;
}

}  // namespace hornbeam
