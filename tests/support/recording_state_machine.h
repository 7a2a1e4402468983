// State machine for tests that records its commands.
#pragma once

#include <string>
#include <string_view>

#include "base/state_machine.h"

namespace hornbeam {

// Records all commands. The state is the list of commands, each followed by a
// comma; it is also the reply to every command and query.
class recording_state_machine final : public state_machine {
 public:
  std::string Apply(const committed_entry& entry) override {
    state_ += entry.command;
    state_ += ',';
    return state_;
  }
  [[nodiscard]] std::string Query(std::string_view /*query*/) const override {
    return state_;
  }
  [[nodiscard]] std::string TakeSnapshot() const override { return state_; }
  bool RestoreSnapshot(std::string_view snapshot) override {
    state_ = snapshot;
    return true;
  }

 private:
  std::string state_;
};

}  // namespace hornbeam
