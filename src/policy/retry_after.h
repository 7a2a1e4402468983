// Computes when a rejected caller should retry.
//
// Load pattern: a burst of callers is rejected at the same moment. With the
// same retry time they return as the same burst. Each caller therefore gets the
// time until a slot is expected for it, with random jitter in proportion to the
// backlog.
#pragma once

#include "hornbeam/clock_source.h"

namespace hornbeam {

class random_source;

struct retry_after_options {
  // Minimum delay, so that the load has changed by the time of the retry.
  duration min_delay = std::chrono::milliseconds(40);
  // The same for a caller whose request an upstream refused although it had
  // room: nothing has to change before the next try, and each ms is lost from
  // the caller's objective.
  duration refused_delay = std::chrono::milliseconds(5);
  // Jitter in both directions, as a share of the delay.
  double jitter = 0.5;
};

// Returns the delay after which the caller should retry. `backlog` is the
// shortest expected wait among the upstreams. `time_left` is the time until
// the caller's deadline; callers spend at most a third of it on waiting, but
// always at least the minimum delay.
// `refused` tells that an upstream refused the request rather than that it had
// to wait for too long.
duration RetryAfter(duration backlog, duration time_left, random_source& random,
                    const retry_after_options& options, bool refused = false);

}  // namespace hornbeam
