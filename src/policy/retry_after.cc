#include "policy/retry_after.h"

#include <algorithm>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

// Callers wait for at most the remaining time divided by this number.
constexpr int kTimeLeftDivisor = 3;

}  // namespace

duration RetryAfter(duration backlog, duration time_left, random_source& random,
                    const retry_after_options& options, bool refused) {
  const duration min_delay =
      refused ? options.refused_delay : options.min_delay;
  const duration max_delay = std::max(time_left / kTimeLeftDivisor, min_delay);
  const duration delay = std::clamp(backlog, min_delay, max_delay);
  const double factor =
      1 - options.jitter + 2 * options.jitter * random.NextUnit();
  const auto jittered = duration(
      static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor));
  return std::clamp(jittered, min_delay, max_delay);
}

}  // namespace hornbeam
