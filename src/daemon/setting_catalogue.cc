#include "daemon/setting_catalogue.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <limits>

#include "daemon/setting_values.h"

namespace hornbeam {

namespace {

using enum setting_type;
using enum setting_scope;
using text = std::string_view;

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;
constexpr std::uint64_t kSecond = 1000;  // In milliseconds.
constexpr std::uint64_t kHour = 3600 * kSecond;
constexpr std::nullopt_t kRequired = std::nullopt;

constexpr auto kCatalogue = std::to_array<setting_info>({
    {"process", "role", kRole, kAllRoles, 0, 0, kRequired,
     "Role of the daemon.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseRole(value), settings.process.role);
     }},
    {"process", "name", kName, kAllRoles, 0, 0, kRequired,
     "Name of the process, unique in the deployment.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseName(value), settings.process.name);
     }},
    {"process", "region", kName, kAllRoles, 0, 0, kRequired,
     "Region of the VM.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseName(value), settings.process.region);
     }},
    {"process", "availability_zone", kName, kAllRoles, 0, 0, kRequired,
     "Availability zone of the VM.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseName(value), settings.process.availability_zone);
     }},
    {"process", "service", kPath, kNode, 0, 0, "",
     "Service of the upstream on the node's VM, used until the upstream "
     "announces itself.",
     [](text, text value, daemon_settings& settings) {
       settings.process.service = value;
       return true;
     }},
    {"process", "platform_terms", kPath, kNode, 0, 0, "",
     "The platform's requirements on the deployment, in the platform's own "
     "format.",
     [](text, text value, daemon_settings& settings) {
       settings.process.platform_terms = value;
       return true;
     }},
    {"listen", "callers", kAddress, kNode, 0, 0, kRequired,
     "HTTP listener for callers.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(endpoint::Parse(value), settings.listen.callers);
     }},
    {"listen", "peers", kAddress, kAllRoles, 0, 0, kRequired,
     "Listener for the system's other processes and hornbeamctl.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(endpoint::Parse(value), settings.listen.peers);
     }},
    {"listen", "advertised_peers", kAddress, kNode, 0, 0, "",
     "Address at which other nodes reach listen.peers, if it differs.",
     [](text, text value, daemon_settings& settings) {
       if (value.empty()) return true;
       return StoreParsed(endpoint::Parse(value),
                          settings.listen.advertised_peers);
     }},
    {"listen", "local", kAddress, kAllRoles, 0, 0, kRequired,
     "HTTP listener for the upstream on a node's VM, and for /metrics, /health "
     "and /ready.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(endpoint::Parse(value), settings.listen.local);
     }},
    {"listen", "announcements", kAddress, kNode, 0, 0, "",
     "HTTP listener for the upstream's announcements, if it is not "
     "listen.local.",
     [](text, text value, daemon_settings& settings) {
       if (value.empty()) return true;
       return StoreParsed(endpoint::Parse(value),
                          settings.listen.announcements);
     }},
    {"listen", "upstream", kAddress, kNode, 0, 0, "",
     "Address of the upstream on the node's VM, if it is known before the "
     "upstream announces itself.",
     [](text, text value, daemon_settings& settings) {
       if (value.empty()) return true;
       return StoreParsed(endpoint::Parse(value), settings.listen.upstream);
     }},
    {"listen", "operators", kAddress, kControl, 0, 0, "",
     "HTTP listener for reads and changes of the routing table, if it is not "
     "listen.local.",
     [](text, text value, daemon_settings& settings) {
       if (value.empty()) return true;
       return StoreParsed(endpoint::Parse(value), settings.listen.operators);
     }},
    {"control", "addresses", kAddressList, kAllRoles, 0, 0, kRequired,
     "Addresses of listen.peers at all control VMs.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseAddressList(value), settings.control_addresses);
     }},
    {"control", "peers_port", kCount, kAllRoles, 0, 65535, "0",
     "Port of listen.peers at the control VMs, which replaces the ports in "
     "control.addresses; 0 keeps those.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.peers_port);
     }},
    {"control", "may_found", kCount, kControl, 0, 1, "1",
     "1 if this may be the first start of the control VMs, which forms the "
     "cluster; 0 later: a control VM with an empty disk then waits until it is "
     "added to the cluster.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.may_found);
     }},
    {"control", "tolerated_losses", kCount, kControl, 0, 9, "0",
     "Number of control VMs that may be lost at once. Control VMs that are not "
     "in control.addresses then join too; with 0 they do not.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.tolerated_losses);
     }},
    {"control", "heartbeat_ms", kMilliseconds, kControl, 10, 60 * kSecond, "50",
     "Interval between two heartbeats of a store's leader.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.heartbeat_interval);
     }},
    {"control", "election_timeout_ms", kMilliseconds, kControl, 50,
     60 * kSecond, "500",
     "A control VM that receives nothing from the leader for this long starts "
     "an election.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.election_timeout);
     }},
    {"control", "isolation_limit_ms", kMilliseconds, kControl, 50, 60 * kSecond,
     "2000",
     "A control VM whose stores no leader of a quorum has confirmed as current "
     "for this long is not used as registrar by any node. At least four "
     "heartbeats.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.isolation_limit);
     }},
    {"control", "staleness_limit_ms", kMilliseconds, kControl, 50, 60 * kSecond,
     "4000",
     "Promised longest time from the acknowledgement of a change until no node "
     "that reaches the control VMs applies an older version. At least "
     "isolation_limit_ms and the time in which a node changes its registrar.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.control.staleness_limit);
     }},
    {"storage", "data_folder", kPath, kControl, 0, 0, kRequired,
     "Directory on the VM's disk for all persistent data.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseDirectory(value), settings.data_folder);
     }},
    {"teams", kAnyKey, kToken, kControl, 0, 0, "",
     "A team and its token. The team owns the settings subtree of its name.",
     [](text key, text value, daemon_settings& settings) {
       return StoreTeam(key, value, settings.teams);
     }},
    {"log", "file", kPath, kAllRoles, 0, 0, "",
     "File to which events are appended; empty: the standard error stream, "
     "`-`: the standard output stream.",
     [](text, text value, daemon_settings& settings) {
       settings.log.file = value;
       return true;
     }},
    {"log", "level", kLevel, kAllRoles, 0, 0, "info",
     "Lowest level of events that is written.",
     [](text, text value, daemon_settings& settings) {
       return StoreParsed(ParseLevel(value), settings.log.level);
     }},
    {"limits", "request_body_bytes", kBytes, kAllRoles, 0, 1024 * kMebibyte,
     "8388608",
     "Maximum request body size; a larger body is rejected with 413.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.request_body_bytes);
     }},
    {"limits", "response_body_bytes", kBytes, kAllRoles, 0, 1024 * kMebibyte,
     "67108864",
     "Maximum size of an answer that a node accepts from its upstream.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.response_body_bytes);
     }},
    {"limits", "receiving_body_bytes", kBytes, kAllRoles, kMebibyte,
     1024 * kMebibyte, "67108864",
     "Limit on the request bodies that one listener receives at one time, in "
     "total; a request above its equal share is rejected with 503. The answers "
     "that a node receives from its upstream have a limit of the same size.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.receiving_body_bytes);
     }},
    {"limits", "header_bytes", kBytes, kAllRoles, kKibibyte, kMebibyte, "16384",
     "Maximum size of a request's head: its line and all header fields.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.header_bytes);
     }},
    {"limits", "header_timeout_ms", kMilliseconds, kAllRoles, 100, kHour,
     "10000",
     "Maximum time to receive a request after its first byte, and to send its "
     "answer.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.header_timeout);
     }},
    {"limits", "idle_timeout_ms", kMilliseconds, kAllRoles, 100, kHour, "60000",
     "A caller's connection that is idle this long is closed.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.idle_timeout);
     }},
    {"limits", "caller_connections", kCount, kAllRoles, 1, 65536, "1024",
     "Maximum number of open connections from callers.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.caller_connections);
     }},
    {"limits", "drain_timeout_ms", kMilliseconds, kAllRoles, 0, kHour, "30000",
     "Maximum time that a graceful stop waits for calls in flight.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.drain_timeout);
     }},
    {"limits", "peer_silence_timeout_ms", kMilliseconds, kAllRoles, 50,
     60 * kSecond, "1000",
     "A connection between processes that is silent this long is replaced.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.peer_silence_timeout);
     }},
    {"limits", "lease_interval_ms", kMilliseconds, kAllRoles, 50, 60 * kSecond,
     "1000", "Interval between two renewals of a node's lease.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.lease_interval);
     }},
    {"limits", "lease_duration_ms", kMilliseconds, kAllRoles, 100,
     600 * kSecond, "4000",
     "A node's lease expires this long after its last renewal; at least twice "
     "lease_interval_ms.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.lease_duration);
     }},
    {"limits", "claim_timeout_ms", kMilliseconds, kAllRoles, 50, 60 * kSecond,
     "1000", "Maximum time that a claim in the ledger may take.",
     [](text, text value, daemon_settings& settings) {
       return StoreNumber(value, settings.limits.claim_timeout);
     }},
});

text ScopeName(setting_scope scope) {
  switch (scope) {
    case kAllRoles:
      return "node, control";
    case kNode:
      return "node";
    case kControl:
      return "control";
  }
  return "";
}

std::string DefaultText(const setting_info& info) {
  if (!info.default_value) return "required";
  return info.default_value->empty() ? "none"
                                     : fmt::format("`{}`", *info.default_value);
}

}  // namespace

std::span<const setting_info> SettingCatalogue() { return kCatalogue; }

const setting_info* FindSetting(std::string_view section,
                                std::string_view key) {
  const auto matches = [&](const setting_info& info) {
    return info.section == section && (info.key == key || info.key == kAnyKey);
  };
  const auto* const found = std::ranges::find_if(kCatalogue, matches);
  return found == kCatalogue.end() ? nullptr : found;
}

std::string AcceptedValues(const setting_info& info) {
  switch (info.type) {
    case kRole:
      return "node, control";
    case kName:
      return "1 to 63 characters of a-z, 0-9, '-', starting with a letter or "
             "digit";
    case kAddress:
      return "IP address and port, such as 127.0.0.1:8080 or [::1]:8080";
    case kAddressList:
      return "1 to 20 different addresses, separated by commas";
    case kPath:
      return "path";
    case kToken:
      return "8 to 256 printable characters without spaces; the team's name "
             "is 1 to 63 characters of a-z, 0-9, '-'";
    case kLevel:
      return "debug, info, warning, error";
    case kCount:
    case kBytes:
    case kMilliseconds:
      return fmt::format("{} to {}", info.min_value, info.max_value);
  }
  return "";
}

std::string_view UnitOf(setting_type type) {
  switch (type) {
    case kBytes:
      return "bytes";
    case kMilliseconds:
      return "ms";
    default:
      return "";
  }
}

std::string_view TypeName(setting_type type) {
  constexpr std::array<std::string_view, 10> kNames = {
      "role",  "name",  "address", "addresses", "path",
      "token", "level", "count",   "size",      "time"};
  return kNames.at(static_cast<std::size_t>(type));
}

bool AppliesTo(setting_scope scope, daemon_role role) {
  switch (scope) {
    case kAllRoles:
      return true;
    case kNode:
      return role == daemon_role::kNode;
    case kControl:
      return role == daemon_role::kControl;
  }
  return false;
}

std::string FormatSettingCatalogue() {
  std::string out =
      "| Key | Role | Type | Unit | Accepted | Default | Meaning |\n"
      "|---|---|---|---|---|---|---|\n";
  for (const setting_info& info : kCatalogue) {
    fmt::format_to(std::back_inserter(out),
                   "| `{}.{}` | {} | {} | {} | {} | {} | {} |\n", info.section,
                   info.key, ScopeName(info.scope), TypeName(info.type),
                   UnitOf(info.type), AcceptedValues(info), DefaultText(info),
                   info.meaning);
  }
  return out;
}

}  // namespace hornbeam
