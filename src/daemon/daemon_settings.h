// Settings that a daemon reads from its INI file at startup.
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
#include "daemon/config_errors.h"
#include "hornbeam/result.h"
#include "wire/endpoint.h"

namespace hornbeam {

enum class daemon_role : std::uint8_t {
  kNode,     // Accepts calls and forwards them, and serves those of the
             // upstream on the same VM.
  kControl,  // Hosts replicas of the stores.
};

// Section [process].
struct process_settings {
  daemon_role role = daemon_role::kNode;
  std::string name;  // Unique in the deployment.
  std::string region;
  std::string availability_zone;
  // Role node only: service of the upstream, used until the upstream announces
  // itself; may be empty.
  std::string service;
  // Role node only: the platform's requirements on the deployment, in the
  // platform's own format; may be empty.
  std::string platform_terms;
};

// Section [listen].
struct listen_settings {
  std::optional<endpoint> callers;  // Role node only, where it is always set.
  endpoint peers;
  // Address at which other nodes reach `peers`; empty if it is the same.
  std::optional<endpoint> advertised_peers;
  endpoint local;
  // Listener for the upstream's announcements; empty if that is `local`.
  std::optional<endpoint> announcements;  // Role node only.
  // Role node only: address of the upstream on the same VM, if it is known
  // before the upstream announces itself.
  std::optional<endpoint> upstream;
  // Listener for reads and changes of the routing table; empty if that is
  // `local`.
  std::optional<endpoint> operators;  // Role control only.
};

// Section [control], without the addresses.
struct control_settings {
  // Port that replaces the port of each control address; 0 keeps the ports.
  std::uint16_t peers_port = 0;
  // Whether this may be the first start of the control VMs, with empty disks,
  // which forms the cluster.
  bool may_found = true;
  // Number of control VMs that may be lost at once. With 0, only the configured
  // control VMs are members, and they tolerate the loss of a minority.
  std::uint32_t tolerated_losses = 0;
  std::chrono::milliseconds heartbeat_interval{};
  std::chrono::milliseconds election_timeout{};
  std::chrono::milliseconds isolation_limit{};
  std::chrono::milliseconds staleness_limit{};
};

// One line of section [teams].
struct team_credential {
  std::string team;
  std::string token;
};

// Section [log].
struct log_settings {
  std::string file;  // Empty: the standard error stream; "-": standard output.
  event_level level = event_level::kInfo;
};

// Section [limits]. The setting catalogue defines the defaults.
struct limit_settings {
  std::size_t request_body_bytes = 0;
  std::size_t response_body_bytes = 0;
  std::size_t receiving_body_bytes = 0;
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

// All settings of a file, validated.
struct daemon_settings {
  process_settings process;
  listen_settings listen;
  std::vector<endpoint> control_addresses;  // Never empty.
  control_settings control;
  std::string data_folder;             // Role control only; always set there.
  std::vector<team_credential> teams;  // Role control only; in file order.
  log_settings log;
  limit_settings limits;
};

// Parses and validates the text of a settings file. Reports all errors, not
// only the first.
result<daemon_settings, config_errors> ReadDaemonSettings(
    std::string_view text);

// Reads the file at `path`. A file that cannot be read is reported as an error
// in line 0.
result<daemon_settings, config_errors> ReadDaemonSettingsFile(
    const std::filesystem::path& path);

}  // namespace hornbeam
