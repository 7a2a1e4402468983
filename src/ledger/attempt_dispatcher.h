// Interface through which the claim coordinator routes the attempts of a call.
#pragma once

#include <optional>
#include <span>

#include "hornbeam/clock_source.h"
#include "ledger/attempt_guard.h"
#include "ledger/ledger_messages.h"

namespace hornbeam {

// Status of an attempt after a dispatch or a fence.
enum class attempt_status : std::uint8_t {
  kAnswered,     // `answer` is complete.
  kNotRun,       // It did not run and never will, according to `proof`.
  kUnknown,      // Whether it ran can't be established, because of `reason`.
  kRunning,      // Still queued or running.
  kUnreachable,  // The serving node did not reply.
};

struct attempt_result {
  attempt_status status = attempt_status::kUnreachable;
  not_run_proof proof = not_run_proof::kRejected;
  unknown_reason reason = unknown_reason::kNodeRestarted;
  operation_answer answer;
};

// Routes and sends the attempts of one call. The daemon creates one dispatcher
// for each call and uses it on the call's fiber; its methods block that fiber.
class attempt_dispatcher {
 public:
  attempt_dispatcher() = default;
  attempt_dispatcher(const attempt_dispatcher&) = delete;
  attempt_dispatcher& operator=(const attempt_dispatcher&) = delete;
  virtual ~attempt_dispatcher() = default;

  // Returns the node to claim the next attempt for. Returns std::nullopt if no
  // node other than `tried` is left or no further attempt should be made.
  virtual std::optional<node_identity> ChooseTarget(
      std::span<const node_identity> tried) = 0;

  // Sends the attempt, at most once, to the node and incarnation that it was
  // claimed for, and waits for the node's reply until `deadline`. Returns
  // kNotRun only if the request never left this process or the node reported
  // it.
  virtual attempt_result Dispatch(const node_identity& target,
                                  const attempt_reference& attempt,
                                  time_point deadline) = 0;

  // Queries `target` for the status of an attempt. The node fences an attempt
  // that it has not received yet, so that it cannot run later. Returns kUnknown
  // with kNodeRestarted if another incarnation of the node replies.
  virtual attempt_result Fence(const node_identity& target,
                               const attempt_reference& attempt,
                               time_point deadline) = 0;

  // Suspends the call's fiber for `length`.
  virtual void Wait(duration length) = 0;
};

}  // namespace hornbeam
