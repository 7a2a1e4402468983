// Schema of a service's settings document: a table of all keys.
//
// A test compares docs/SETTINGS.md with this table.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/service_settings.h"
#include "settings/settings_messages.h"

namespace hornbeam {

// Format of the value of a key.
enum class service_key_type : std::uint8_t {
  kNumber,
  kPicker,
  kOverloadAction,
  kNameList,  // Names separated by commas or spaces.
};

// One key of section [service].
struct service_key {
  std::string_view name;
  service_key_type type;
  std::string_view unit;    // Empty if the value has no unit.
  std::uint64_t min_value;  // Numbers only.
  std::uint64_t max_value;  // Numbers only.
  std::string_view default_value;
  std::string_view meaning;
  // The field that holds a number; null for other types.
  std::uint64_t service_settings::* number;
};

// Returns the table, in the order of the documentation.
std::span<const service_key> ServiceSchema();

// The settings of a document and all errors found in it. A key with an error
// keeps its default, so the settings can always be used.
struct checked_service_settings {
  service_settings settings;
  std::vector<settings_error> errors;
};

// Parses the INI text `document`. `path` is its path, for the errors.
checked_service_settings ReadServiceSettings(std::string_view path,
                                             std::string_view document);

// Returns a description of the accepted values of a key, for error messages and
// documentation.
std::string AcceptedServiceValues(const service_key& key);

// Returns the table as Markdown, for docs/SETTINGS.md.
std::string FormatServiceSchema();

}  // namespace hornbeam
