// Series of overlapping faults, planned work and changes at real processes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeam {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::seconds time{20};
  std::size_t nodes = 6;
  std::size_t callers = 24;
  // Faults that are going on at one time, beside one of a control VM.
  std::size_t fault_threads = 3;
};

struct soak_result {
  std::vector<std::string> failures;
  std::size_t runs = 0;      // Requests that upstreams ran.
  std::size_t answered = 0;  // Requests that callers got a success for.
  std::size_t exchanges = 0;
  std::size_t restarts = 0;
  std::size_t cuts = 0;     // Of links of control VMs.
  std::size_t changes = 0;  // Acknowledged changes of the routing table.
  // Probes of a version at nodes in touch, and how long after its
  // acknowledgement one was last found missing.
  std::size_t checked_probes = 0;
  std::chrono::milliseconds latest_version{0};
};

// Runs one soak. Checked are: no unsafe request runs twice; a rejection that
// promises "not run" is true; a success is the upstream's whole answer; nothing
// reaches an upstream after its leave was confirmed; an acknowledged change is
// read back, and in force in time at each node in touch; no process ends by
// itself; and all services answer in the end.
soak_result RunSoak(const soak_options& options);

}  // namespace hornbeam
