#include "settings/service_schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <ranges>

#include "base/ini_document.h"
#include "base/nearest_name.h"

namespace hornbeam {

namespace {

constexpr std::string_view kSection = "service";
constexpr std::uint64_t kDayMs = 86400000;
constexpr std::uint64_t kMebibyte = 1024UL * 1024;

using enum service_key_type;

constexpr auto kSchema = std::to_array<service_key>({
    {"deadline_default_ms", kNumber, "ms", 1, kDayMs, "10000",
     "Deadline of a call whose caller does not set one.",
     &service_settings::deadline_default_ms},
    {"deadline_max_ms", kNumber, "ms", 1, kDayMs, "600000",
     "Maximum deadline of a call; a longer one is reduced to it.",
     &service_settings::deadline_max_ms},
    {"picker", kPicker, "", 0, 0, "expected_wait",
     "Algorithm that selects the upstream of a call; all except expected_wait "
     "are for comparison.",
     nullptr},
    {"crest", kOverloadAction, "", 0, 0, "wait",
     "Overload policy when every slot is taken: wait up to the deadline, or "
     "reject early.",
     nullptr},
    {"early_wait_ms", kNumber, "ms", 1, kDayMs, "250",
     "With crest = refuse: a short call with a longer expected wait is "
     "rejected.",
     &service_settings::early_wait_ms},
    {"long_threshold_ms", kNumber, "ms", 1, kDayMs, "200",
     "A route counts as long if its usual service time is at least this.",
     &service_settings::long_threshold_ms},
    {"long_slot_share_percent", kNumber, "%", 1, 100, "50",
     "Maximum share of an upstream's slots that long calls may hold.",
     &service_settings::long_slot_share_percent},
    {"queue_limit", kNumber, "calls", 1, 100000, "512",
     "Maximum number of short calls queued at one upstream; an eighth of it "
     "for long calls.",
     &service_settings::queue_limit},
    {"retry_budget_percent", kNumber, "%", 0, 100, "20",
     "Maximum number of retries, as a share of the calls.",
     &service_settings::retry_budget_percent},
    {"hedge_budget_percent", kNumber, "%", 0, 20, "2",
     "Maximum number of hedges of slow short idempotent calls, as a share of "
     "the calls; 0 disables hedging.",
     &service_settings::hedge_budget_percent},
    {"slow_start_ms", kNumber, "ms", 0, 3600000, "2000",
     "Time in which a new upstream ramps up to all its slots.",
     &service_settings::slow_start_ms},
    {"key_window_s", kNumber, "s", 60, 604800, "3600",
     "An Idempotency-Key older than this is rejected; the call does not run.",
     &service_settings::key_window_s},
    {"key_skew_ms", kNumber, "ms", 0, 3600000, "60000",
     "An Idempotency-Key from further in the future is rejected.",
     &service_settings::key_skew_ms},
    {"answer_record_limit_bytes", kNumber, "bytes", 0, 4 * kMebibyte, "65536",
     "Answers up to this size are stored in the ledger for resends.",
     &service_settings::answer_record_limit_bytes},
    {"request_body_limit_bytes", kNumber, "bytes", 0, 1024 * kMebibyte,
     "8388608",
     "Maximum size of a request body; a larger one is rejected with 413.",
     &service_settings::request_body_limit_bytes},
    {"probe_budget_per_s", kNumber, "messages/s", 0, 1000, "20",
     "Maximum rate of load probes that one node sends for this service.",
     &service_settings::probe_budget_per_s},
    {"subset_size", kNumber, "upstreams", 1, 1000, "20",
     "Maximum number of upstreams that one node uses.",
     &service_settings::subset_size},
    {"drained_nodes", kNameList, "", 0, 0, "",
     "Nodes whose upstream receives no new calls.", nullptr},
});

struct named_picker {
  std::string_view name;
  picker_choice choice;
};

constexpr auto kPickers = std::to_array<named_picker>(
    {{"expected_wait", picker_choice::kExpectedWait},
     {"random", picker_choice::kRandom},
     {"round_robin", picker_choice::kRoundRobin},
     {"least_outstanding", picker_choice::kLeastOutstanding},
     {"two_choices", picker_choice::kTwoChoices}});

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

bool StoreNumber(const service_key& key, std::string_view text,
                 service_settings& settings) {
  const auto number = ParseNumber(text);
  if (!number || *number < key.min_value || *number > key.max_value)
    return false;
  settings.*key.number = *number;
  return true;
}

bool StorePicker(std::string_view text, service_settings& settings) {
  const auto found = std::ranges::find(kPickers, text, &named_picker::name);
  if (found == kPickers.end()) return false;
  settings.picker = found->choice;
  return true;
}

bool StoreOverloadAction(std::string_view text, service_settings& settings) {
  if (text != "wait" && text != "refuse") return false;
  settings.overload =
      text == "wait" ? overload_action::kWait : overload_action::kReject;
  return true;
}

bool StoreNames(std::string_view text, service_settings& settings) {
  settings.drained_nodes.clear();
  constexpr std::string_view kSeparators = ", \t";
  while (!text.empty()) {
    const std::size_t end = text.find_first_of(kSeparators);
    const std::string_view name = text.substr(0, end);
    if (!name.empty()) settings.drained_nodes.emplace_back(name);
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return true;
}

bool Store(const service_key& key, std::string_view text,
           service_settings& settings) {
  switch (key.type) {
    case kNumber:
      return StoreNumber(key, text, settings);
    case kPicker:
      return StorePicker(text, settings);
    case kOverloadAction:
      return StoreOverloadAction(text, settings);
    case kNameList:
      return StoreNames(text, settings);
  }
  return false;
}

service_settings MakeDefaults() {
  service_settings settings;
  for (const service_key& key : kSchema) {
    Store(key, key.default_value, settings);
  }
  return settings;
}

settings_error MakeError(std::string_view path, std::size_t line,
                         std::string_view key, std::string reason,
                         std::string accepted = {}) {
  return settings_error{.path = std::string(path),
                        .line = static_cast<std::uint32_t>(line),
                        .key = std::string(key),
                        .reason = std::move(reason),
                        .accepted = std::move(accepted)};
}

std::string DescribeNearestKey(std::string_view name) {
  std::array<std::string_view, kSchema.size()> names;
  std::ranges::transform(kSchema, names.begin(), &service_key::name);
  const std::string_view nearest = NearestName(name, names);
  return nearest.empty() ? std::string()
                         : fmt::format("the nearest known key is {}", nearest);
}

// Adds the errors in combinations of values.
void CheckCombinations(std::string_view path,
                       checked_service_settings& checked) {
  const service_settings& settings = checked.settings;
  if (settings.deadline_default_ms <= settings.deadline_max_ms) return;
  checked.errors.push_back(
      MakeError(path, 0, "service.deadline_default_ms",
                "the default is above deadline_max_ms",
                fmt::format("1 to {}", settings.deadline_max_ms)));
}

}  // namespace

std::span<const service_key> ServiceSchema() { return kSchema; }

checked_service_settings ReadServiceSettings(std::string_view path,
                                             std::string_view document) {
  checked_service_settings checked{.settings = MakeDefaults()};
  const ini_document read = ReadIni(document);
  for (const ini_error& error : read.errors) {
    checked.errors.push_back(MakeError(path, error.line, "", error.reason));
  }
  for (const ini_entry& entry : read.entries) {
    const std::string full = entry.section + "." + entry.key;
    if (entry.section != kSection) {
      checked.errors.push_back(
          MakeError(path, entry.line, full, "unknown section", "[service]"));
      continue;
    }
    const auto key = std::ranges::find(kSchema, entry.key, &service_key::name);
    if (key == kSchema.end()) {
      checked.errors.push_back(MakeError(path, entry.line, full, "unknown key",
                                         DescribeNearestKey(entry.key)));
    } else if (!Store(*key, entry.value, checked.settings)) {
      checked.errors.push_back(
          MakeError(path, entry.line, full,
                    fmt::format("'{}' is no valid value", entry.value),
                    AcceptedServiceValues(*key)));
    }
  }
  CheckCombinations(path, checked);
  std::ranges::sort(checked.errors, {}, &settings_error::line);
  return checked;
}

std::string AcceptedServiceValues(const service_key& key) {
  switch (key.type) {
    case kNumber:
      return fmt::format("{} to {}", key.min_value, key.max_value);
    case kPicker: {
      std::array<std::string_view, kPickers.size()> names;
      std::ranges::transform(kPickers, names.begin(), &named_picker::name);
      return fmt::format("{}", fmt::join(names, ", "));
    }
    case kOverloadAction:
      return "wait, refuse";
    case kNameList:
      return "names of nodes, separated by commas";
  }
  return {};
}

std::string FormatServiceSchema() {
  std::string text =
      "| Key | Unit | Accepted | Default | Meaning |\n|---|---|---|---|---|\n";
  for (const service_key& key : kSchema) {
    fmt::format_to(std::back_inserter(text), "| `{}` | {} | {} | {} | {} |\n",
                   key.name, key.unit, AcceptedServiceValues(key),
                   key.default_value.empty()
                       ? "none"
                       : fmt::format("`{}`", key.default_value),
                   key.meaning);
  }
  return text;
}

}  // namespace hornbeam
