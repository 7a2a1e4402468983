// Settings of one service, read from its document "TEAM/services/NAME".
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeam {

// Algorithm that selects the upstream of a call.
enum class picker_choice : std::uint8_t {
  kExpectedWait,
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
};

// What happens to a call when every slot is taken: it waits up to its deadline,
// or it is rejected early.
enum class overload_action : std::uint8_t { kWait, kReject };

// The schema in service_schema.cc defines the defaults, which also apply to a
// service without a document.
struct service_settings {
  std::uint64_t deadline_default_ms = 0;
  std::uint64_t deadline_max_ms = 0;
  picker_choice picker = picker_choice::kExpectedWait;
  overload_action overload = overload_action::kWait;
  std::uint64_t early_wait_ms = 0;
  std::uint64_t long_threshold_ms = 0;
  std::uint64_t long_slot_share_percent = 0;
  std::uint64_t queue_limit = 0;
  std::uint64_t retry_budget_percent = 0;
  std::uint64_t hedge_budget_percent = 0;
  std::uint64_t slow_start_ms = 0;
  std::uint64_t key_window_s = 0;
  std::uint64_t key_skew_ms = 0;
  std::uint64_t answer_record_limit_bytes = 0;
  std::uint64_t request_body_limit_bytes = 0;
  std::uint64_t probe_budget_per_s = 0;
  std::uint64_t subset_size = 0;
  std::vector<std::string> drained_nodes;
};

}  // namespace hornbeam
