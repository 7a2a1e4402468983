#include "base/process_metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

#include "base/metrics_registry.h"

namespace hornbeam {

namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;

double Seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) * kSecondsPerMicrosecond;
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return Seconds(usage.ru_utime) + Seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

process_metrics::process_metrics(metrics_registry& registry)
    : cpu_seconds_(registry.GetCounter(
          {"process_cpu_seconds_total",
           "User and system processor time of the process in seconds."})),
      resident_bytes_(registry.GetGauge({"process_resident_memory_bytes",
                                         "Resident memory of the process."})) {}

void process_metrics::Sample() {
  cpu_seconds_.RaiseTo(CpuSeconds());
  resident_bytes_.Set(ResidentBytes());
}

}  // namespace hornbeam
