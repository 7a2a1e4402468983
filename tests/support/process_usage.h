// CPU time and memory of a process, as /proc reports them.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>

namespace hornbeam {

struct process_usage {
  std::chrono::microseconds cpu{0};  // User and system time.
  std::uint64_t resident_bytes = 0;
  std::uint64_t peak_resident_bytes = 0;  // Since the process began.
};

// Returns the usage of process `pid`; all zero when the process does not exist.
process_usage ReadProcessUsage(pid_t pid);

}  // namespace hornbeam
