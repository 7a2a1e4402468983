#include "policy/return_pacing.h"

#include <algorithm>

#include "hornbeam/random_source.h"

namespace hornbeam {

namespace {

// Callers wait for at most the remaining time divided by this number.
constexpr int kPartOfTimeLeft = 3;

}  // namespace

duration ReturnAfter(duration backlog, duration time_left,
                     random_source& random,
                     const return_pacing_options& options) {
  const duration longest =
      std::max(time_left / kPartOfTimeLeft, options.shortest);
  const duration turn = std::clamp(backlog, options.shortest, longest);
  const double factor =
      1 - options.spread + 2 * options.spread * random.NextUnit();
  const auto spread = duration(
      static_cast<std::int64_t>(static_cast<double>(turn.count()) * factor));
  return std::clamp(spread, options.shortest, longest);
}

}  // namespace hornbeam
