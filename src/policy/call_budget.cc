#include "policy/call_budget.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr std::uint64_t kOneCall = 1000;
// Shares of a bound that are used. The remainder covers the calls that repeated
// calls make in turn, and the time until nodes learn how many nodes share the
// budget.
constexpr double kUsedShare = 0.85;
constexpr double kUsedSlack = 0.9;
}  // namespace

shared_budget MakeSharedBudget(double share, std::uint32_t slack) {
  return {.per_mille = static_cast<std::uint32_t>(
              share * kUsedShare * static_cast<double>(kOneCall)),
          .burst = static_cast<std::uint32_t>(slack * kUsedSlack)};
}

std::uint32_t BurstPerNode(std::uint32_t shared, std::uint32_t max_burst,
                           std::size_t nodes) {
  const std::size_t share = shared / std::max<std::size_t>(nodes, 1);
  return static_cast<std::uint32_t>(
      std::clamp<std::size_t>(share, 1, max_burst));
}

call_budget::call_budget(call_budget_options options)
    : capacity_(options.burst * kOneCall),
      level_(capacity_),
      refill_(options.per_mille) {}

void call_budget::RecordCall() {
  level_ = std::min(level_ + refill_, capacity_);
}

bool call_budget::CanSpend() const { return level_ >= kOneCall; }

void call_budget::SetBurst(std::uint32_t burst) {
  capacity_ = burst * kOneCall;
  level_ = std::min(level_, capacity_);
}

bool call_budget::TrySpend() {
  if (!CanSpend()) return false;
  level_ -= kOneCall;
  return true;
}

}  // namespace hornbeam
