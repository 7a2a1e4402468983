#include "daemon/setting_values.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hornbeam {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMinTokenLength = 8;
constexpr std::size_t kMaxTokenLength = 256;
constexpr std::size_t kMaxControlVms = 20;

template <class T>
struct named_value {
  std::string_view name;
  T value;
};

constexpr std::array kRoles = {
    named_value<daemon_role>{"node", daemon_role::kNode},
    named_value<daemon_role>{"control", daemon_role::kControl}};

constexpr std::array kLevels = {
    named_value<event_level>{"debug", event_level::kDebug},
    named_value<event_level>{"info", event_level::kInfo},
    named_value<event_level>{"warning", event_level::kWarning},
    named_value<event_level>{"error", event_level::kError}};

template <class T, std::size_t N>
std::optional<T> FindNamed(const std::array<named_value<T>, N>& values,
                           std::string_view name) {
  const auto found = std::ranges::find(values, name, &named_value<T>::name);
  if (found == values.end()) return std::nullopt;
  return found->value;
}

bool IsLowerOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) { return IsLowerOrDigit(c) || c == '-'; }

bool IsPrintable(char c) { return c > ' ' && c < '\x7f'; }

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool IsToken(std::string_view text) {
  return text.size() >= kMinTokenLength && text.size() <= kMaxTokenLength &&
         std::ranges::all_of(text, IsPrintable);
}

}  // namespace

std::optional<daemon_role> ParseRole(std::string_view text) {
  return FindNamed(kRoles, text);
}

std::optional<std::string> ParseName(std::string_view text) {
  const bool valid = !text.empty() && text.size() <= kMaxNameLength &&
                     IsLowerOrDigit(text.front()) &&
                     std::ranges::all_of(text, IsNameCharacter);
  if (!valid) return std::nullopt;
  return std::string(text);
}

std::optional<event_level> ParseLevel(std::string_view text) {
  return FindNamed(kLevels, text);
}

std::optional<std::string> ParseDirectory(std::string_view text) {
  if (text.empty()) return std::nullopt;
  return std::string(text);
}

std::optional<std::vector<endpoint>> ParseAddressList(std::string_view text) {
  std::vector<endpoint> addresses;
  while (true) {
    const auto comma = text.find(',');
    auto address = endpoint::Parse(Trim(text.substr(0, comma)));
    if (!address || address->port == 0) return std::nullopt;
    if (std::ranges::count(addresses, *address) != 0) return std::nullopt;
    addresses.push_back(*std::move(address));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  if (addresses.size() > kMaxControlVms) return std::nullopt;
  return addresses;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return number;
}

bool StoreTeam(std::string_view team, std::string_view token,
               std::vector<team_credential>& teams) {
  const auto name = ParseName(team);
  if (!name || !IsToken(token)) return false;
  teams.push_back({.team = *name, .token = std::string(token)});
  return true;
}

}  // namespace hornbeam
