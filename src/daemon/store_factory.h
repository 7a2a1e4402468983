// Factories for the stores that the replicated logs drive.
#pragma once

#include <memory>
#include <span>

#include "base/proposal_gate.h"
#include "base/state_machine.h"
#include "base/store_client.h"

namespace hornbeam {

struct team_credential;

// Makes the empty state machine of `store`.
std::unique_ptr<state_machine> MakeStateMachine(store_id store);

// Makes the gate that checks settings changes against the tokens of the teams.
std::unique_ptr<proposal_gate> MakeSettingsGate(
    std::span<const team_credential> teams);

}  // namespace hornbeam
