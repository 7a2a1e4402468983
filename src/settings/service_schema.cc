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
     "Deadline of a call whose caller names none.",
     &service_settings::deadline_default_ms},
    {"deadline_max_ms", kNumber, "ms", 1, kDayMs, "600000",
     "Longest deadline; a longer one is cut to it.",
     &service_settings::deadline_max_ms},
    {"picker", kPicker, "", 0, 0, "expected_wait",
     "How the upstream of a call is chosen; all but expected_wait are there "
     "for comparison.",
     nullptr},
    {"crest", kCrest, "", 0, 0, "wait",
     "With every slot taken: wait up to the deadline, or refuse early.",
     nullptr},
    {"early_wait_ms", kNumber, "ms", 1, kDayMs, "250",
     "Under crest = refuse: a short call with a longer expected wait is "
     "refused.",
     &service_settings::early_wait_ms},
    {"long_threshold_ms", kNumber, "ms", 1, kDayMs, "200",
     "A route is long from this usual service time on.",
     &service_settings::long_threshold_ms},
    {"long_slot_share_percent", kNumber, "%", 1, 100, "50",
     "Most of an upstream's slots that long calls may hold.",
     &service_settings::long_slot_share_percent},
    {"queue_limit", kNumber, "calls", 1, 100000, "512",
     "Most short calls that wait at one upstream; an eighth of it for long "
     "ones.",
     &service_settings::queue_limit},
    {"retry_budget_percent", kNumber, "%", 0, 100, "20",
     "Most extra dispatches by retries, as a share of the calls.",
     &service_settings::retry_budget_percent},
    {"hedge_budget_percent", kNumber, "%", 0, 20, "2",
     "Most second dispatches of slow short idempotent calls; 0: none.",
     &service_settings::hedge_budget_percent},
    {"slow_start_ms", kNumber, "ms", 0, 3600000, "2000",
     "Time over which a new upstream is given all its slots.",
     &service_settings::slow_start_ms},
    {"key_window_s", kNumber, "s", 60, 604800, "3600",
     "An Idempotency-Key older than this is refused, never run.",
     &service_settings::key_window_s},
    {"key_skew_ms", kNumber, "ms", 0, 3600000, "60000",
     "An Idempotency-Key from further in the future is refused.",
     &service_settings::key_skew_ms},
    {"answer_record_limit_bytes", kNumber, "bytes", 0, 4 * kMebibyte, "65536",
     "Answers up to this size are kept in the ledger for resends.",
     &service_settings::answer_record_limit_bytes},
    {"request_body_limit_bytes", kNumber, "bytes", 0, 1024 * kMebibyte,
     "8388608", "Largest request body; a larger one is answered with 413.",
     &service_settings::request_body_limit_bytes},
    {"probe_budget_per_s", kNumber, "messages/s", 0, 1000, "20",
     "Most load probes that one node sends for this service.",
     &service_settings::probe_budget_per_s},
    {"subset_size", kNumber, "upstreams", 1, 1000, "20",
     "Most upstreams that one node uses.", &service_settings::subset_size},
    {"drained_nodes", kNameList, "", 0, 0, "",
     "Nodes whose upstream gets no new calls.", nullptr},
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
  if (!number || *number < key.lowest || *number > key.highest) return false;
  settings.*key.number = *number;
  return true;
}

bool StorePicker(std::string_view text, service_settings& settings) {
  const auto found = std::ranges::find(kPickers, text, &named_picker::name);
  if (found == kPickers.end()) return false;
  settings.picker = found->choice;
  return true;
}

bool StoreCrest(std::string_view text, service_settings& settings) {
  if (text != "wait" && text != "refuse") return false;
  settings.overload =
      text == "wait" ? crest_choice::kWait : crest_choice::kRefuse;
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
    case kCrest:
      return StoreCrest(text, settings);
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

settings_fault MakeFault(std::string_view path, std::size_t line,
                         std::string_view key, std::string reason,
                         std::string accepted = {}) {
  return settings_fault{.path = std::string(path),
                        .line = static_cast<std::uint32_t>(line),
                        .key = std::string(key),
                        .reason = std::move(reason),
                        .accepted = std::move(accepted)};
}

std::string NearestKey(std::string_view name) {
  std::array<std::string_view, kSchema.size()> names;
  std::ranges::transform(kSchema, names.begin(), &service_key::name);
  const std::string_view nearest = NearestName(name, names);
  return nearest.empty() ? std::string()
                         : fmt::format("the nearest known key is {}", nearest);
}

// Faults that lie in the combination of values.
void CheckTogether(std::string_view path, checked_service_settings& checked) {
  const service_settings& settings = checked.settings;
  if (settings.deadline_default_ms <= settings.deadline_max_ms) return;
  checked.faults.push_back(
      MakeFault(path, 0, "service.deadline_default_ms",
                "the default is above deadline_max_ms",
                fmt::format("1 to {}", settings.deadline_max_ms)));
}

}  // namespace

std::span<const service_key> ServiceSchema() { return kSchema; }

checked_service_settings ReadServiceSettings(std::string_view path,
                                             std::string_view document) {
  checked_service_settings checked{.settings = MakeDefaults()};
  const ini_document read = ReadIni(document);
  for (const ini_fault& fault : read.faults) {
    checked.faults.push_back(MakeFault(path, fault.line, "", fault.reason));
  }
  for (const ini_entry& entry : read.entries) {
    const std::string full = entry.section + "." + entry.key;
    if (entry.section != kSection) {
      checked.faults.push_back(
          MakeFault(path, entry.line, full, "unknown section", "[service]"));
      continue;
    }
    const auto key = std::ranges::find(kSchema, entry.key, &service_key::name);
    if (key == kSchema.end()) {
      checked.faults.push_back(MakeFault(path, entry.line, full, "unknown key",
                                         NearestKey(entry.key)));
    } else if (!Store(*key, entry.value, checked.settings)) {
      checked.faults.push_back(
          MakeFault(path, entry.line, full,
                    fmt::format("'{}' is no valid value", entry.value),
                    AcceptedServiceValues(*key)));
    }
  }
  CheckTogether(path, checked);
  std::ranges::sort(checked.faults, {}, &settings_fault::line);
  return checked;
}

std::string AcceptedServiceValues(const service_key& key) {
  switch (key.type) {
    case kNumber:
      return fmt::format("{} to {}", key.lowest, key.highest);
    case kPicker: {
      std::array<std::string_view, kPickers.size()> names;
      std::ranges::transform(kPickers, names.begin(), &named_picker::name);
      return fmt::format("{}", fmt::join(names, ", "));
    }
    case kCrest:
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
