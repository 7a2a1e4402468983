#include "support/process_usage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace hornbeam {

namespace {

// Fields of /proc/PID/stat between the program's name and the CPU times.
constexpr int kFieldsBeforeTimes = 11;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

std::chrono::microseconds ReadCpu(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string line;
  std::getline(file, line);
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) return {};
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) fields >> skipped;
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return std::chrono::microseconds((user + system) * kMicrosecondsPerSecond /
                                   ::sysconf(_SC_CLK_TCK));
}

std::uint64_t ReadResident(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::uint64_t ReadPeakResident(pid_t pid) {
  constexpr std::string_view kName = "VmHWM:";
  constexpr std::uint64_t kBytesPerUnit = 1024;
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(kName))
      return std::stoull(line.substr(kName.size())) * kBytesPerUnit;
  }
  return 0;
}

}  // namespace

process_usage ReadProcessUsage(pid_t pid) {
  return process_usage{.cpu = ReadCpu(pid),
                       .resident_bytes = ReadResident(pid),
                       .peak_resident_bytes = ReadPeakResident(pid)};
}

}  // namespace hornbeam
