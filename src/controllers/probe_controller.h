// Load probes that refresh stale load reports within each service's budget.
#pragma once

#include "hornbeam/clock_source.h"

namespace hornbeam {

class call_router;
class fiber_group;
class service_directory;

// Most load reports arrive with answers. This controller probes the upstreams
// of services in use whose last report is stale, the oldest first. For the I/O
// thread only; owned by the daemon.
class probe_controller {
 public:
  probe_controller(const clock_source& clock, service_directory& directory,
                   call_router& router);

  void Start(fiber_group& fibers);
  void Stop() { stopped_ = true; }

 private:
  void Run();
  bool ProbeOnce();

  const clock_source& clock_;
  service_directory& directory_;
  call_router& router_;
  bool stopped_ = false;
};

}  // namespace hornbeam
