#include "support/platform_settings.h"

#include <fmt/format.h>

namespace hornbeam {

namespace {

std::string FormatLimits(const std::string& lines) {
  return lines.empty() ? std::string() : "[limits]\n" + lines;
}

}  // namespace

std::string FormatSettings(const platform_control_settings& settings) {
  return fmt::format(
      "[process]\nrole = control\nname = {}\nregion = r\n"
      "availability_zone = {}\n"
      "[listen]\npeers = {}\nlocal = {}\noperators = {}\n"
      "[control]\naddresses = {}\npeers_port = {}\nmay_found = {}\n"
      "tolerated_losses = {}\nheartbeat_ms = 150\nelection_timeout_ms = 700\n"
      "isolation_limit_ms = 900\nstaleness_limit_ms = 2000\n"
      "[storage]\ndata_folder = {}\n[log]\nfile = -\n{}",
      settings.name, settings.zone, settings.peers, settings.local,
      settings.operators, settings.control_addresses, settings.peers_port,
      settings.may_found ? 1 : 0, settings.tolerated_losses,
      settings.data_folder, FormatLimits(settings.limits));
}

std::string FormatSettings(const platform_node_settings& settings) {
  return fmt::format(
      "[process]\nrole = node\nname = {}\nregion = r\n"
      "availability_zone = {}\nservice = {}\nplatform_terms = graceS={}\n"
      "[listen]\npeers = {}\nlocal = {}\n{}"
      "[control]\naddresses = {}\npeers_port = {}\n[log]\nfile = -\n{}",
      settings.name, settings.zone, settings.service,
      settings.stop_grace.count(), settings.peers, settings.local,
      settings.outer_addresses, settings.control_addresses, settings.peers_port,
      FormatLimits(settings.limits));
}

}  // namespace hornbeam
