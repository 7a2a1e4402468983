// Which calls an upstream that fails what it is given still gets.
//
// Load pattern: an upstream passes its health check and fails nearly every
// call, some at once. It then looks idle and draws more calls than the sound
// ones. Calls go elsewhere until a few trials in a row have ended well.
#pragma once

#include <cstddef>
#include <cstdint>

#include "hornbeam/clock_source.h"

namespace hornbeam {

struct failure_gate_options {
  // Shut when so many of the last kRemembered calls failed: well above what
  // long work that runs into its deadline, or failing services that it calls,
  // bring about.
  int failures_to_shut = 10;
  // Between two trials while it is shut: of calls that may run again, and of
  // others, which cost their caller more.
  duration trial_interval = std::chrono::milliseconds(200);
  duration costly_trial_interval = std::chrono::milliseconds(1000);
  // Trials that have to end well, one after the other.
  int successes_to_open = 3;
};

// At the node beside the upstream, which sees all its calls. Not thread-safe.
class failure_gate {
 public:
  static constexpr int kRemembered = 16;

  explicit failure_gate(const failure_gate_options& options)
      : options_(options) {}

  // Notes how a call ended that was given to the upstream; `began_shut` as the
  // gate was when it began. What began before the gate was shut opens nothing.
  void Record(bool failed, bool began_shut);
  // Whether a call may go there now; true while the gate is shut starts a
  // trial.
  bool Admits(bool idempotent, time_point now);

  [[nodiscard]] bool IsShut() const { return shut_; }
  // Of the last calls, in thousandths.
  [[nodiscard]] std::uint32_t FailurePerMille() const;

 private:
  const failure_gate_options options_;
  std::uint32_t last_ = 0;  // A bit a call, 1 for a failure.
  bool shut_ = false;
  int successes_ = 0;  // In a row while shut.
  time_point trial_at_;
};

}  // namespace hornbeam
