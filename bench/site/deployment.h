// The two deployments that site_bench measures, in their required sizes.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/site.h"

namespace hornbeam {

struct deployment {
  std::string name;
  std::vector<std::string> availability_zones;
  std::vector<site_service> services;
  std::string measured_service;  // Service that receives the load.
  // Index of the measured service's first node.
  std::size_t first_measured = 0;
  std::size_t measured_upstreams = 0;
  std::size_t slots = 0;  // Slots of each upstream.
  std::size_t connections_per_node = 0;
  double short_ms = 0;            // Mean service time of short calls.
  double long_ms = 0;             // Mean service time of long calls.
  std::string overload_settings;  // Overload lines of the service's settings.
  std::chrono::microseconds zone_delay{1500};  // One way.
};

// Returns the deployment nappe or aral; std::nullopt for another name.
std::optional<deployment> FindDeployment(std::string_view name);

// Returns the calls per second that the slots of the measured service can serve
// if a share `long_share` of the calls is long.
double SlotCapacity(const deployment& measured, double long_share);

}  // namespace hornbeam
