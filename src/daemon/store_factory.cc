#include "daemon/store_factory.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "daemon/daemon_settings.h"
#include "ledger/operation_ledger.h"
#include "routing/routing_store.h"
#include "settings/settings_gate.h"
#include "settings/settings_store.h"

namespace hornbeam {

std::unique_ptr<state_machine> MakeStateMachine(store_id store) {
  if (store == store_id::kSettings) return std::make_unique<settings_store>();
  if (store == store_id::kRouting) return std::make_unique<routing_store>();
  return std::make_unique<operation_ledger>();
}

std::unique_ptr<proposal_gate> MakeSettingsGate(
    std::span<const team_credential> teams) {
  std::vector<team_token> tokens;
  std::ranges::transform(teams, std::back_inserter(tokens),
                         [](const team_credential& credential) {
                           return team_token{credential.team, credential.token};
                         });
  return std::make_unique<settings_gate>(std::move(tokens));
}

}  // namespace hornbeam
