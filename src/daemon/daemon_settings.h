// The settings that a daemon reads from its INI file when it starts.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_catalogue.h"
#include "daemon/config_faults.h"
#include "hornbeam/result.h"
#include "wire/endpoint.h"

namespace hornbeam {

// What a daemon does.
enum class daemon_role : std::uint8_t {
  kNode,     // Stands beside an upstream; takes and serves calls.
  kControl,  // Holds replicas of the settings store and the ledger.
};

// Section [process].
struct process_settings {
  daemon_role role = daemon_role::kNode;
  std::string name;  // Unique in the deployment.
  std::string region;
  std::string availability_zone;
  // Role node: the service of the upstream until it announces itself; may be
  // empty.
  std::string service;
  // Role node: what the platform holds the deployment to, in its own words; may
  // be empty.
  std::string platform_terms;
};

// Section [listen].
struct listen_settings {
  std::optional<endpoint> callers;  // Role node only, and always there.
  endpoint peers;
  // Where other nodes reach `peers` from outside; nothing: as it listens.
  std::optional<endpoint> advertised_peers;
  endpoint local;
  // Where the upstream announces itself, where it is not `local`.
  std::optional<endpoint> announcements;  // Role node only.
  // Role node only: where the upstream beside it listens, when that is known
  // before it announces itself.
  std::optional<endpoint> upstream;
  // Where operators change the routing table.
  std::optional<endpoint> operators;  // Role control only.
};

// Section [control], beside the addresses.
struct control_settings {
  // Port of the peers listeners where the addresses name another; 0: as given.
  std::uint16_t peers_port = 0;
  // Whether this may be the first start of all, with empty disks.
  bool may_found = true;
  // Control VMs that may be lost at once; 0: as many as the configured ones
  // bear, and no others join.
  std::uint32_t tolerated_losses = 0;
  std::chrono::milliseconds heartbeat_interval{};
  std::chrono::milliseconds election_timeout{};
  std::chrono::milliseconds isolation_limit{};
};

// One line of section [teams].
struct team_credential {
  std::string team;
  std::string token;
};

// Section [log].
struct log_settings {
  std::string file;  // Empty: the standard error stream.
  event_level level = event_level::kInfo;
};

// Section [limits]. The catalogue of settings holds the defaults.
struct limit_settings {
  std::size_t request_body_bytes = 0;
  std::size_t response_body_bytes = 0;
  std::size_t header_bytes = 0;
  std::size_t caller_connections = 0;
  std::chrono::milliseconds header_timeout{};
  std::chrono::milliseconds idle_timeout{};
  std::chrono::milliseconds drain_timeout{};
  std::chrono::milliseconds peer_silence_timeout{};
  std::chrono::milliseconds lease_interval{};
  std::chrono::milliseconds lease_duration{};
  std::chrono::milliseconds claim_timeout{};
};

// The whole file, checked.
struct daemon_settings {
  process_settings process;
  listen_settings listen;
  std::vector<endpoint> control_addresses;  // Never empty.
  control_settings control;
  std::string data_folder;             // Role control only, and always there.
  std::vector<team_credential> teams;  // Role control only; in file order.
  log_settings log;
  limit_settings limits;
};

// Reads the text of a settings file. Reports every fault that it has, not only
// the first.
result<daemon_settings, config_faults> ReadDaemonSettings(
    std::string_view text);

// Reads the file at `path`. A file that cannot be read is a fault in line 0.
result<daemon_settings, config_faults> ReadDaemonSettingsFile(
    const std::filesystem::path& path);

}  // namespace hornbeam
