// Budget for extra calls, such as retries and hedges, as a share of the
// ordinary calls.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct call_budget_options {
  // Extra calls granted for each thousand ordinary calls.
  std::uint32_t per_mille = 100;
  // Maximum number of extra calls that accumulate; also the initial budget.
  std::uint32_t burst = 10;
};

// Extra calls that all nodes together may make to one service.
struct shared_budget {
  std::uint32_t per_mille = 0;  // Of the ordinary calls.
  std::uint32_t burst = 0;
};

// Returns the budget that keeps the extra calls below `share` of the ordinary
// calls plus `slack`. This bound also covers the further calls that repeated
// calls make in turn.
shared_budget MakeSharedBudget(double share, std::uint32_t slack);

// Returns the burst of each of `nodes` nodes that share a burst of `shared`. It
// is at least 1, since otherwise no extra call could ever accumulate, and at
// most `max_burst`.
std::uint32_t BurstPerNode(std::uint32_t shared, std::uint32_t max_burst,
                           std::size_t nodes);

// Token bucket that ordinary calls refill and extra calls drain. The number of
// extra calls granted never exceeds burst + per_mille / 1000 of the ordinary
// calls. Not thread-safe.
class call_budget {
 public:
  explicit call_budget(call_budget_options options);

  // Records an ordinary call.
  void RecordCall();
  // Returns whether the budget allows one extra call.
  [[nodiscard]] bool CanSpend() const;
  // Takes one extra call from the budget. Returns false when none is left.
  bool TrySpend();
  // Limits the accumulated extra calls to `burst`.
  void SetBurst(std::uint32_t burst);

 private:
  std::uint64_t capacity_;
  std::uint64_t level_;  // In thousandths of a call.
  std::uint64_t refill_;
};

}  // namespace hornbeam
