#include "controllers/probe_controller.h"

#include "controllers/call_router.h"
#include "controllers/service_directory.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

constexpr duration kBusyInterval = std::chrono::milliseconds(20);
constexpr duration kIdleInterval = std::chrono::milliseconds(250);
// Services without a call for this long are not probed.
constexpr duration kInUseWindow = std::chrono::seconds(1);
constexpr duration kStaleAge = std::chrono::milliseconds(100);
// Size of one probe on the wire, including its frame.
constexpr std::int64_t kProbeBytes = 32;

}  // namespace

probe_controller::probe_controller(const clock_source& clock,
                                   service_directory& directory,
                                   call_router& router)
    : clock_(clock), directory_(directory), router_(router) {}

void probe_controller::Start(fiber_group& fibers) {
  fibers.Start([this] { Run(); });
}

void probe_controller::Run() {
  while (!stopped_) {
    io_loop::SleepFor(ProbeOnce() ? kBusyInterval : kIdleInterval);
  }
}

// Probes the stalest upstream of each service in use. Returns false when no
// service is in use.
bool probe_controller::ProbeOnce() {
  bool any_in_use = false;
  const time_point in_use_since = clock_.Now() - kInUseWindow;
  for (const auto& service : directory_.Services()) {
    if (service->LastCallAt() < in_use_since) continue;
    any_in_use = true;
    const auto stale = service->View().StalestMember(kStaleAge);
    if (!stale || !service->Probes().TrySpend(kProbeBytes)) continue;
    service->View().RecordProbe(*stale);
    router_.Probe(service, *stale);
  }
  return any_in_use;
}

}  // namespace hornbeam
