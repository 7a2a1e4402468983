// Parsers of single values of a daemon's settings file.
#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/event_catalogue.h"
#include "daemon/daemon_settings.h"
#include "wire/endpoint.h"

namespace hornbeam {

// Each function returns std::nullopt if `text` is not a value of its type.
std::optional<daemon_role> ParseRole(std::string_view text);
std::optional<std::string> ParseName(std::string_view text);
std::optional<event_level> ParseLevel(std::string_view text);
std::optional<std::string> ParseDirectory(std::string_view text);
std::optional<std::vector<endpoint>> ParseAddressList(std::string_view text);
std::optional<std::uint64_t> ParseNumber(std::string_view text);

// Adds a team. Returns false, and adds nothing, if its name or token is
// invalid.
bool StoreTeam(std::string_view team, std::string_view token,
               std::vector<team_credential>& teams);

// Stores a parsed value in `target`. Returns false if `value` is empty.
template <class T, class Target>
bool StoreParsed(std::optional<T> value, Target& target) {
  if (!value) return false;
  target = std::move(*value);
  return true;
}

// Parses a number, or a time in milliseconds, and stores it in `target`.
// Returns false if `text` is not a number. The caller checks the range.
template <class Target>
bool StoreNumber(std::string_view text, Target& target) {
  const auto number = ParseNumber(text);
  if (!number) return false;
  target = Target(*number);
  return true;
}

}  // namespace hornbeam
