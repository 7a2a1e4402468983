// Connection settings of hornbeamctl: control VMs, credentials and timeout.
#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/result.h"
#include "wire/endpoint.h"

namespace hornbeam {

// Unparsed values from one source; empty where the source sets none.
struct connection_options {
  std::optional<std::string> control;
  std::optional<std::string> team;
  std::optional<std::string> token;
  std::optional<std::string> timeout_ms;
};

// The effective connection settings.
struct ctl_connection {
  std::vector<endpoint> control;
  std::string team;   // May be empty; only changes need a team.
  std::string token;  // May be empty; only changes need a token.
  std::chrono::milliseconds timeout{};
};

// Error in one of the sources. The reason names the file or the setting.
struct connection_error {
  std::string reason;
};

// Returns the value of an environment variable, or std::nullopt if it is unset.
using environment_lookup =
    std::function<std::optional<std::string>(std::string_view)>;

// Reads the variables HORNBEAMCTL_CONTROL, HORNBEAMCTL_TEAM, HORNBEAMCTL_TOKEN
// and HORNBEAMCTL_TIMEOUT_MS.
connection_options ReadEnvironment(const environment_lookup& lookup);

// Reads the keys control, team, token and timeout_ms from section [connection]
// of an INI file.
result<connection_options, connection_error> ReadConnectionFile(
    const std::filesystem::path& path);

// Merges the sources: flags override the environment, which overrides the file.
// Control addresses and timeout have defaults that fit tools/quickstart; team
// and token are empty by default.
result<ctl_connection, connection_error> ResolveConnection(
    const connection_options& flags, const connection_options& variables,
    const connection_options& file);

}  // namespace hornbeam
