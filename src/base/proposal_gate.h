// Interface for checks of client commands before they enter the replicated log.
#pragma once

#include <string>
#include <string_view>

#include "hornbeam/result.h"

namespace hornbeam {

// Encoded reply to a client whose command is rejected.
struct gate_rejection {
  std::string reply;
};

// Makes the checks that a state machine must not make: secrets, which may not
// be written to the log, and rules that may differ between versions of the
// program. Called on the leader, before the command is proposed.
class proposal_gate {
 public:
  proposal_gate() = default;
  proposal_gate(const proposal_gate&) = delete;
  proposal_gate& operator=(const proposal_gate&) = delete;
  virtual ~proposal_gate() = default;

  // Returns the bytes to propose in place of `command`, or a rejection.
  [[nodiscard]] virtual result<std::string, gate_rejection> Admit(
      std::string_view command) const = 0;
};

}  // namespace hornbeam
