// Interface of hornbeamctl's commands.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ctl/command_report.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// Operands and options of a command. A command reads those that its entry in
// the command table lists; the parser rejects all others.
struct ctl_arguments {
  std::vector<std::string> operands;
  std::optional<std::uint64_t> revision;
  std::optional<request_id> change_id;
  std::optional<std::chrono::milliseconds> wait;
  std::optional<std::uint32_t> limit;
  std::optional<std::chrono::milliseconds> min_age;
  std::string acknowledge;
  std::string note;
  bool unresolved = false;
  bool undo = false;
};

// One command. An instance runs once; owned by RunCtl.
class ctl_command {
 public:
  ctl_command() = default;
  ctl_command(const ctl_command&) = delete;
  ctl_command& operator=(const ctl_command&) = delete;
  virtual ~ctl_command() = default;

  // Runs the command and returns what to print. `arguments` has been validated
  // against the command table.
  virtual command_report Run(const ctl_arguments& arguments) = 0;
};

}  // namespace hornbeam
