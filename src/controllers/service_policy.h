// Routing and admission policy of one service, derived from its settings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "policy/admission_queue.h"
#include "policy/call_classifier.h"
#include "policy/hedge_budget.h"
#include "policy/picker.h"
#include "policy/probe_budget.h"
#include "policy/retry_budget.h"

namespace hornbeam {

struct service_policy {
  duration default_deadline = std::chrono::seconds(10);
  duration max_deadline = std::chrono::minutes(10);
  picker_kind picker = picker_kind::kExpectedWait;
  std::size_t subset_size = 20;
  std::size_t body_limit_bytes = 8UL * 1024 * 1024;
  std::size_t answer_record_limit_bytes = 64UL * 1024;
  std::uint32_t key_window_s = 3600;
  std::uint32_t key_skew_ms = 60000;
  retry_budget_options retries;
  hedge_budget_options hedges;
  call_classifier_options classes;
  probe_budget_options probes;
  admission_options admission;
  std::vector<std::string> drained_nodes;
};

// Returns the policy that a service's settings document defines. The document
// was validated when it was accepted, so settings that this version cannot read
// are not an error and get their defaults.
service_policy MakeServicePolicy(std::string_view document);

}  // namespace hornbeam
