// Dispatch of one non-idempotent call on behalf of the claim coordinator.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "controllers/call_router.h"
#include "ledger/attempt_dispatcher.h"

namespace hornbeam {

class service_state;

// Translates the router's results into what they prove about an attempt. Used
// only on the fiber of its call, which owns it.
class claimed_call final : public attempt_dispatcher {
 public:
  claimed_call(call_router& router, std::shared_ptr<service_state> service,
               const outgoing_call& call);

  std::optional<node_identity> ChooseTarget(
      std::span<const node_identity> tried) override;
  attempt_result Dispatch(const node_identity& target,
                          const attempt_reference& attempt,
                          time_point deadline) override;
  attempt_result Fence(const node_identity& target,
                       const attempt_reference& attempt,
                       time_point deadline) override;
  void Wait(duration length) override;

  [[nodiscard]] std::size_t Dispatches() const { return dispatches_; }

 private:
  call_router& router_;
  const std::shared_ptr<service_state> service_;
  const outgoing_call call_;
  std::optional<route_choice> choice_;
  std::size_t dispatches_ = 0;
};

}  // namespace hornbeam
