// Dependencies of hornbeamctl's commands.
#pragma once

#include <functional>
#include <istream>

#include "ctl/ctl_connection.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/random_source.h"

namespace hornbeam {

class status_source;
class store_client;

// Passed to each command and owned by the session. Everything in it outlives
// the command.
struct ctl_context {
  store_client& stores;
  status_source& status;
  const clock_source& clock;
  random_source& random;
  std::istream& input;                  // Read if the file is "-".
  std::function<void(duration)> pause;  // Waits between two polls.
  const ctl_connection& connection;

  // Returns the deadline for the reply to a request that is sent now.
  [[nodiscard]] time_point Deadline() const {
    return clock.Now() + connection.timeout;
  }
};

}  // namespace hornbeam
