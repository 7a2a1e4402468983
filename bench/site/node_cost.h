// Measures the overhead of hornbeamlb: time added to a call, CPU, memory and
// control traffic.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "site/deployment.h"

namespace hornbeam {

// Time that the path through two nodes adds to a call without service time.
struct added_time_row {
  std::string name;
  double rate = 0;  // Offered calls per second.
  double p50_ms = 0;
  double p99_ms = 0;
  double direct_p50_ms = 0;  // Direct calls to the stand-in at the same rate.
  double direct_p99_ms = 0;
  std::size_t unanswered = 0;
};

// Mean resource usage of one daemon.
struct usage_row {
  std::string name;
  double cpu_percent = 0;  // Of one core.
  double resident_mebibytes = 0;
  double control_bytes_per_s = 0;  // Node traffic to and from the control VMs.
};

// Measures the added time at several rates, up to one that saturates the nodes.
// The row of that rate also shows how many calls per second get through: the
// offered rate less the unanswered calls.
std::vector<added_time_row> MeasureAddedTime(site& running,
                                             const deployment& measured);

// Measures the mean usage of the nodes and of the control VMs while `rate`
// calls per second pass through the site; a rate of 0 measures the idle site.
// The site must have been made with relay_control.
std::vector<usage_row> MeasureUsage(site& running, const deployment& measured,
                                    double rate,
                                    std::chrono::milliseconds duration);

}  // namespace hornbeam
