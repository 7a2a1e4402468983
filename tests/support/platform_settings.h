// Settings files of the platform's daemon for tests.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace hornbeam {

struct platform_control_settings {
  std::string name;
  std::string zone;
  std::string peers;
  std::string local;
  std::string operators;
  std::string control_addresses;  // Separated by commas.
  std::string peers_port;
  bool may_found = false;
  std::size_t tolerated_losses = 0;
  std::string data_folder;
  std::string limits;  // Lines of the section, if any.
};

struct platform_node_settings {
  std::string name;
  std::string zone;
  std::string service;
  std::chrono::seconds stop_grace{6};
  std::string peers;
  std::string local;
  std::string outer_addresses;  // Further lines of section [listen].
  std::string control_addresses;
  std::string peers_port;
  std::string limits;
};

// Return the text of a settings file.
std::string FormatSettings(const platform_control_settings& settings);
std::string FormatSettings(const platform_node_settings& settings);

}  // namespace hornbeam
