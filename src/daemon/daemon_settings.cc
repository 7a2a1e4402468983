#include "daemon/daemon_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <sstream>
#include <tuple>

#include "base/ini_document.h"
#include "base/nearest_name.h"
#include "controllers/control_service.h"
#include "daemon/setting_catalogue.h"
#include "daemon/setting_values.h"

namespace hornbeam {

namespace {

std::string JoinKey(std::string_view section, std::string_view key) {
  return section.empty() ? std::string(key)
                         : fmt::format("{}.{}", section, key);
}

bool IsNumber(setting_type type) {
  return type == setting_type::kCount || type == setting_type::kBytes ||
         type == setting_type::kMilliseconds;
}

bool IsInRange(const setting_info& info, std::string_view text) {
  if (!IsNumber(info.type)) return true;
  const auto number = ParseNumber(text);
  return number && *number >= info.min_value && *number <= info.max_value;
}

bool IsEarlier(const config_error& a, const config_error& b) {
  return std::tie(a.line, a.key) < std::tie(b.line, b.key);
}

// Collects the settings and the errors of one file.
class settings_reader {
 public:
  explicit settings_reader(ini_document document)
      : document_(std::move(document)) {}

  result<daemon_settings, config_errors> Read() {
    AddSyntaxErrors();
    // Which keys are valid and required depends on the role, so it comes first.
    const bool role_known = ReadRole();
    ApplyDefaults();
    for (const ini_entry& entry : document_.entries) ReadEntry(entry);
    if (role_known) AddMissingKeys();
    if (errors_.errors.empty()) CheckKeyCombinations();
    if (errors_.errors.empty()) {
      ApplyPeersPort();
      return std::move(settings_);
    }
    std::ranges::sort(errors_.errors, IsEarlier);
    return std::move(errors_);
  }

 private:
  void AddSyntaxErrors() {
    for (const ini_error& error : document_.errors) {
      errors_.errors.push_back(
          {error.line, "", error.reason, "[section] or key = value"});
    }
  }

  bool ReadRole() {
    const auto* const entry = FindEntry("process", "role");
    if (entry != nullptr) {
      const auto role = ParseRole(entry->value);
      if (role) settings_.process.role = *role;
      return role.has_value();
    }
    AddMissingKey(*FindSetting("process", "role"));
    return false;
  }

  void ApplyDefaults() {
    for (const setting_info& info : SettingCatalogue()) {
      if (info.default_value && info.key != kAnyKey) {
        info.store(info.key, *info.default_value, settings_);
      }
    }
  }

  void ReadEntry(const ini_entry& entry) {
    const setting_info* const info = FindSetting(entry.section, entry.key);
    if (info == nullptr) {
      AddUnknownKey(entry);
    } else if (!AppliesTo(info->scope, settings_.process.role)) {
      AddError(entry, "belongs to the other role only",
               "keys of this file's role");
    } else if (!IsInRange(*info, entry.value) ||
               !info->store(entry.key, entry.value, settings_)) {
      AddError(entry,
               fmt::format("'{}' is not a valid value",
                           DisplayedValue(entry, *info)),
               AcceptedValues(*info));
    }
  }

  // Hides tokens, which are secrets, because errors go to terminals and logs.
  static std::string_view DisplayedValue(const ini_entry& entry,
                                         const setting_info& info) {
    return info.type == setting_type::kToken ? "(hidden)"
                                             : std::string_view(entry.value);
  }

  void AddUnknownKey(const ini_entry& entry) {
    std::vector<std::string> keys;
    std::ranges::transform(SettingCatalogue(), std::back_inserter(keys),
                           [](const setting_info& info) {
                             return JoinKey(info.section, info.key);
                           });
    const std::vector<std::string_view> names(keys.begin(), keys.end());
    const std::string_view nearest =
        NearestName(JoinKey(entry.section, entry.key), names);
    AddError(entry, "unknown key",
             nearest.empty() ? std::string("the keys of docs/SETTINGS.md")
                             : fmt::format("did you mean {}?", nearest));
  }

  void AddError(const ini_entry& entry, std::string reason,
                std::string accepted) {
    errors_.errors.push_back({entry.line, JoinKey(entry.section, entry.key),
                              std::move(reason), std::move(accepted)});
  }

  void AddMissingKey(const setting_info& info) {
    errors_.errors.push_back(
        {0, JoinKey(info.section, info.key), "missing", AcceptedValues(info)});
  }

  void AddMissingKeys() {
    for (const setting_info& info : SettingCatalogue()) {
      if (info.default_value) continue;
      if (!AppliesTo(info.scope, settings_.process.role)) continue;
      if (FindEntry(info.section, info.key) == nullptr) AddMissingKey(info);
    }
  }

  const ini_entry* FindEntry(std::string_view section,
                             std::string_view key) const {
    const auto found =
        std::ranges::find_if(document_.entries, [&](const ini_entry& entry) {
          return entry.section == section && entry.key == key;
        });
    return found == document_.entries.end() ? nullptr : &*found;
  }

  // A change is in force everywhere in time only if control VMs that are behind
  // give up their nodes early enough. A limit below four heartbeats would
  // isolate control VMs whose confirmation is on its way.
  void CheckControlTimes() {
    constexpr int kMinHeartbeats = 4;
    if (settings_.process.role != daemon_role::kControl) return;
    const control_settings& control = settings_.control;
    if (control.isolation_limit < kMinHeartbeats * control.heartbeat_interval) {
      AddCombinationError(
          "control", "isolation_limit_ms", "shorter than four heartbeats",
          fmt::format("{} or more",
                      kMinHeartbeats * control.heartbeat_interval.count()));
    }
    const auto least = std::chrono::ceil<std::chrono::milliseconds>(
        control.isolation_limit + kRegistrarMoveTime);
    if (control.staleness_limit >= least) return;
    AddCombinationError("control", "staleness_limit_ms",
                        "shorter than isolation_limit_ms and a node's change "
                        "of its registrar",
                        fmt::format("{} or more", least.count()));
  }

  // Checks rules that involve several keys, after each key has been validated
  // by itself.
  void CheckKeyCombinations() {
    const limit_settings& limits = settings_.limits;
    if (limits.lease_duration < 2 * limits.lease_interval) {
      AddCombinationError(
          "limits", "lease_duration_ms",
          "shorter than two lease renewal intervals",
          fmt::format("{} or more", 2 * limits.lease_interval.count()));
    }
    CheckControlTimes();
    const listen_settings& listen = settings_.listen;
    if (IsSameListener(listen.peers, listen.local)) {
      AddCombinationError("listen", "local", "same address as listen.peers",
                          "a port that no other listener uses");
    }
    if (listen.callers && (IsSameListener(*listen.callers, listen.peers) ||
                           IsSameListener(*listen.callers, listen.local))) {
      AddCombinationError("listen", "callers",
                          "same address as another listener",
                          "a port that no other listener uses");
    }
  }

  void ApplyPeersPort() {
    if (settings_.control.peers_port == 0) return;
    for (endpoint& address : settings_.control_addresses) {
      address.port = settings_.control.peers_port;
    }
  }

  // Port 0 selects any free port, so two such listeners never conflict.
  static bool IsSameListener(const endpoint& a, const endpoint& b) {
    return a == b && a.port != 0;
  }

  void AddCombinationError(std::string_view section, std::string_view key,
                           std::string reason, std::string accepted) {
    const ini_entry* const entry = FindEntry(section, key);
    errors_.errors.push_back({entry == nullptr ? 0 : entry->line,
                              JoinKey(section, key), std::move(reason),
                              std::move(accepted)});
  }

  ini_document document_;
  daemon_settings settings_;
  config_errors errors_;
};

}  // namespace

result<daemon_settings, config_errors> ReadDaemonSettings(
    std::string_view text) {
  return settings_reader(ReadIni(text)).Read();
}

result<daemon_settings, config_errors> ReadDaemonSettingsFile(
    const std::filesystem::path& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    return config_errors{
        {{0, "", "the file cannot be read", "a readable file"}}};
  }
  return ReadDaemonSettings(text.view());
}

}  // namespace hornbeam
