// Table of all keys of a daemon's settings file.
//
// A test checks docs/SETTINGS.md against this table.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "daemon/daemon_settings.h"

namespace hornbeam {

// Format of a key's value.
enum class setting_type : std::uint8_t {
  kRole,
  kName,
  kAddress,
  kAddressList,
  kPath,
  kToken,
  kLevel,
  kCount,
  kBytes,
  kMilliseconds,
};

// Roles that read a key.
enum class setting_scope : std::uint8_t { kAllRoles, kNode, kControl };

// Description of one key. A key without a default is required.
struct setting_info {
  std::string_view section;
  std::string_view key;  // kAnyKey if the operator chooses the key names.
  setting_type type;
  setting_scope scope;
  std::uint64_t min_value;  // Numbers only.
  std::uint64_t max_value;  // Numbers only.
  std::optional<std::string_view> default_value;
  std::string_view meaning;
  // Parses `text`, the value of `key`, and stores it in `settings`. Returns
  // false, and changes nothing, if `text` is not a value of the type.
  bool (*store)(std::string_view key, std::string_view text,
                daemon_settings& settings);
};

// Key of a section whose key names the operator chooses.
inline constexpr std::string_view kAnyKey = "NAME";

// Returns all keys, in the order of the file.
std::span<const setting_info> SettingCatalogue();

// Returns the entry for a key of a file, or null for an unknown key.
const setting_info* FindSetting(std::string_view section, std::string_view key);

// Returns a description of the accepted values.
std::string AcceptedValues(const setting_info& info);

// Returns the unit of a type's values; empty for a type without a unit.
std::string_view UnitOf(setting_type type);

// Returns the name of a type in docs/SETTINGS.md.
std::string_view TypeName(setting_type type);

// Returns whether a daemon of `role` reads a key of `scope`.
bool AppliesTo(setting_scope scope, daemon_role role);

// Formats the table as Markdown for docs/SETTINGS.md.
std::string FormatSettingCatalogue();

}  // namespace hornbeam
