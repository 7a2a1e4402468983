#include "controllers/service_policy.h"

#include <algorithm>

#include "settings/service_schema.h"

namespace hornbeam {

namespace {

constexpr std::uint32_t kPerMillePerPercent = 10;
constexpr std::size_t kLongQueueDivisor = 8;
constexpr std::int64_t kBytesPerProbe = 128;
constexpr duration kProbeWindow = std::chrono::seconds(1);

duration Milliseconds(std::uint64_t count) {
  return std::chrono::milliseconds(count);
}

std::uint32_t PerMille(std::uint64_t percent) {
  return static_cast<std::uint32_t>(percent) * kPerMillePerPercent;
}

picker_kind ToPickerKind(picker_choice choice) {
  switch (choice) {
    case picker_choice::kExpectedWait:
      return picker_kind::kExpectedWait;
    case picker_choice::kRandom:
      return picker_kind::kRandom;
    case picker_choice::kRoundRobin:
      return picker_kind::kRoundRobin;
    case picker_choice::kLeastOutstanding:
      return picker_kind::kLeastOutstanding;
    case picker_choice::kTwoChoices:
      return picker_kind::kTwoChoices;
  }
  return picker_kind::kExpectedWait;
}

admission_options MakeAdmission(const service_settings& settings) {
  admission_options options;
  options.overload = settings.overload == overload_action::kWait
                         ? overload_policy::kWait
                         : overload_policy::kRejectEarly;
  options.early_wait = Milliseconds(settings.early_wait_ms);
  options.long_share_per_mille = PerMille(settings.long_slot_share_percent);
  options.max_queued_short = settings.queue_limit;
  options.max_queued_long =
      std::max<std::size_t>(1, settings.queue_limit / kLongQueueDivisor);
  options.slow_start_time = Milliseconds(settings.slow_start_ms);
  return options;
}

}  // namespace

service_policy MakeServicePolicy(std::string_view document) {
  const service_settings settings = ReadServiceSettings("", document).settings;
  service_policy policy;
  policy.default_deadline = Milliseconds(settings.deadline_default_ms);
  policy.max_deadline = Milliseconds(settings.deadline_max_ms);
  policy.picker = ToPickerKind(settings.picker);
  policy.subset_size = settings.subset_size;
  policy.body_limit_bytes = settings.request_body_limit_bytes;
  policy.answer_record_limit_bytes = settings.answer_record_limit_bytes;
  policy.key_window_s = static_cast<std::uint32_t>(settings.key_window_s);
  policy.key_skew_ms = static_cast<std::uint32_t>(settings.key_skew_ms);
  policy.retries.budget.per_mille = PerMille(settings.retry_budget_percent);
  policy.hedges.budget.per_mille = PerMille(settings.hedge_budget_percent);
  if (settings.hedge_budget_percent == 0) policy.hedges.budget.burst = 0;
  policy.classes.long_call_threshold = Milliseconds(settings.long_threshold_ms);
  policy.probes.window = kProbeWindow;
  policy.probes.messages_per_window =
      static_cast<std::int64_t>(settings.probe_budget_per_s);
  policy.probes.bytes_per_window =
      policy.probes.messages_per_window * kBytesPerProbe;
  policy.admission = MakeAdmission(settings);
  policy.drained_nodes = settings.drained_nodes;
  return policy;
}

}  // namespace hornbeam
