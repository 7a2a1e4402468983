// When a rejected caller should come back.
//
// Load pattern: a clump of callers is rejected at the same moment. Told the
// same time, they return as the same clump. Each is told when room is expected
// for its turn, spread over the time that the backlog needs.
#pragma once

#include "hornbeam/clock_source.h"

namespace hornbeam {

class random_source;

struct return_pacing_options {
  // Not sooner: the load has to have changed.
  duration shortest = std::chrono::milliseconds(40);
  // The turn is spread over so much of the backlog.
  double spread = 0.5;
};

// `backlog`: the expected wait where there was least of it. `time_left`: until
// the caller's deadline; callers use at most a third of it for waiting.
duration ReturnAfter(duration backlog, duration time_left,
                     random_source& random,
                     const return_pacing_options& options);

}  // namespace hornbeam
