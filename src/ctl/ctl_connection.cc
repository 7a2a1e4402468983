#include "ctl/ctl_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <sstream>

#include "base/ini_document.h"
#include "base/nearest_name.h"

namespace hornbeam {

namespace {

constexpr std::string_view kSection = "connection";
constexpr std::string_view kDefaultControl =
    "127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003";
constexpr std::string_view kDefaultTimeoutMs = "5000";
constexpr std::uint32_t kMaxTimeoutMs = 600'000;

using option_member = std::optional<std::string> connection_options::*;

struct connection_key {
  std::string_view name;
  std::string_view variable;
  option_member member;
};

constexpr auto kKeys = std::to_array<connection_key>({
    {"control", "HORNBEAMCTL_CONTROL", &connection_options::control},
    {"team", "HORNBEAMCTL_TEAM", &connection_options::team},
    {"token", "HORNBEAMCTL_TOKEN", &connection_options::token},
    {"timeout_ms", "HORNBEAMCTL_TIMEOUT_MS", &connection_options::timeout_ms},
});

constexpr auto kKeyNames =
    std::to_array<std::string_view>({"control", "team", "token", "timeout_ms"});

std::string Choose(option_member member, std::string_view fallback,
                   std::initializer_list<const connection_options*> sources) {
  const auto gives = [member](const connection_options* source) {
    return (source->*member).has_value();
  };
  const auto* const first = std::ranges::find_if(sources, gives);
  return first == sources.end() ? std::string(fallback)
                                : ((*first)->*member).value();
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::optional<std::vector<endpoint>> ParseAddresses(std::string_view text) {
  std::vector<endpoint> addresses;
  while (true) {
    const auto comma = text.find(',');
    auto address = endpoint::Parse(Trim(text.substr(0, comma)));
    if (!address) return std::nullopt;
    addresses.push_back(*std::move(address));
    if (comma == std::string_view::npos) return addresses;
    text.remove_prefix(comma + 1);
  }
}

std::optional<std::chrono::milliseconds> ParseTimeout(std::string_view text) {
  std::uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool valid = error == std::errc{} && stop == end && number > 0 &&
                     number <= kMaxTimeoutMs;
  if (!valid) return std::nullopt;
  return std::chrono::milliseconds(number);
}

}  // namespace

connection_options ReadEnvironment(const environment_lookup& lookup) {
  connection_options options;
  for (const connection_key& key : kKeys) {
    options.*key.member = lookup(key.variable);
  }
  return options;
}

result<connection_options, connection_error> ReadConnectionFile(
    const std::filesystem::path& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || !text) {
    return connection_error{
        fmt::format("{}: cannot read the file", path.string())};
  }
  const ini_document document = ReadIni(text.view());
  if (!document.errors.empty()) {
    const ini_error& error = document.errors.front();
    return connection_error{
        fmt::format("{}:{}: {}", path.string(), error.line, error.reason)};
  }
  connection_options options;
  for (const ini_entry& entry : document.entries) {
    const auto* const key =
        std::ranges::find(kKeys, entry.key, &connection_key::name);
    if (entry.section != kSection || key == kKeys.end()) {
      return connection_error{
          fmt::format("{}:{}: unknown key {}.{}; nearest: {}.{}", path.string(),
                      entry.line, entry.section, entry.key, kSection,
                      NearestName(entry.key, kKeyNames))};
    }
    options.*key->member = entry.value;
  }
  return options;
}

result<ctl_connection, connection_error> ResolveConnection(
    const connection_options& flags, const connection_options& variables,
    const connection_options& file) {
  const auto choose = [&](option_member member, std::string_view fallback) {
    return Choose(member, fallback, {&flags, &variables, &file});
  };
  const std::string control =
      choose(&connection_options::control, kDefaultControl);
  auto addresses = ParseAddresses(control);
  if (!addresses) {
    return connection_error{fmt::format(
        "control: '{}' is not a list of addresses such as 127.0.0.1:7001, ...",
        control)};
  }
  const std::string timeout =
      choose(&connection_options::timeout_ms, kDefaultTimeoutMs);
  const auto parsed_timeout = ParseTimeout(timeout);
  if (!parsed_timeout) {
    return connection_error{
        fmt::format("timeout_ms: '{}' is not a number from 1 to {}", timeout,
                    kMaxTimeoutMs)};
  }
  return ctl_connection{.control = *std::move(addresses),
                        .team = choose(&connection_options::team, ""),
                        .token = choose(&connection_options::token, ""),
                        .timeout = *parsed_timeout};
}

}  // namespace hornbeam
