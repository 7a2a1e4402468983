// Main function of hornbeamctl, with its environment passed in for tests.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <span>

#include "ctl/ctl_connection.h"
#include "ctl/ctl_context.h"
#include "ctl/exit_code.h"

namespace hornbeam {

// Connection to the control VMs for one command.
class ctl_session {
 public:
  ctl_session() = default;
  ctl_session(const ctl_session&) = delete;
  ctl_session& operator=(const ctl_session&) = delete;
  virtual ~ctl_session() = default;

  // Returns the context of the command, which the session owns.
  virtual ctl_context& Context() = 0;
};

// Makes the session for the effective connection settings.
using session_factory =
    std::function<std::unique_ptr<ctl_session>(const ctl_connection&)>;

// Standard output and standard error stream of the tool.
struct ctl_streams {
  std::ostream& output;
  std::ostream& diagnostics;
};

// Runs one command line and returns the exit code. The first argument is the
// program's name.
exit_code RunCtl(std::span<const char* const> arguments,
                 const environment_lookup& lookup,
                 const session_factory& make_session, ctl_streams streams);

}  // namespace hornbeam
