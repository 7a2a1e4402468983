// Authorisation and validation of settings changes before they are replicated.
#pragma once

#include <string>
#include <vector>

#include "base/proposal_gate.h"

namespace hornbeam {

// The secret of one team.
struct team_token {
  std::string team;
  std::string token;
};

// Admits a change if its token belongs to its team, its path is in the team's
// subtree and its document has no errors according to the schema. Removes the
// token from the command, because secrets must not be written to the replicated
// log. Owned by the control daemon.
class settings_gate final : public proposal_gate {
 public:
  explicit settings_gate(std::vector<team_token> tokens);

  // Returns the command without its token, or the reply that rejects it.
  [[nodiscard]] result<std::string, gate_rejection> Admit(
      std::string_view command) const override;

 private:
  [[nodiscard]] bool IsAuthorised(std::string_view team,
                                  std::string_view token) const;

  const std::vector<team_token> tokens_;
};

}  // namespace hornbeam
