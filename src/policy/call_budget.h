// A budget of extra calls as a share of the ordinary ones.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct call_budget_options {
  // Extra calls granted for each thousand ordinary calls.
  std::uint32_t per_mille = 100;
  // Most extra calls saved up; also what the budget starts with.
  std::uint32_t burst = 10;
};

// What all nodes together may spend on one service.
struct shared_budget {
  std::uint32_t per_mille = 0;  // Of the ordinary calls.
  std::uint32_t burst = 0;
};

// The budget that stays within a bound of `share` of the ordinary calls and
// `slack` more, which counts also the calls that repeated runs make in turn.
shared_budget MakeSharedBudget(double share, std::uint32_t slack);

// The burst of one of `nodes` nodes that share one of `shared`: one at least,
// or none could ever be saved up, and `most` at most.
std::uint32_t ShareOfBurst(std::uint32_t shared, std::uint32_t most,
                           std::size_t nodes);

// Counts ordinary calls in and extra calls out; what is granted never passes
// burst + per_mille / 1000 of the ordinary calls. Not thread-safe.
class call_budget {
 public:
  explicit call_budget(call_budget_options options);

  void RecordCall();
  // Whether one extra call is left.
  [[nodiscard]] bool HasOne() const;
  // Takes one extra call from the budget; false when none is left.
  bool TrySpend();
  // Saves up no more than `burst` from now on.
  void SetBurst(std::uint32_t burst);

 private:
  std::uint64_t capacity_;
  std::uint64_t level_;  // In thousandths of a call.
  std::uint64_t refill_;
};

}  // namespace hornbeam
