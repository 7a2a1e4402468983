// What a node knows of one start of its upstream.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "hornbeam/request_id.h"
#include "http/http_client.h"
#include "io/fiber_signal.h"
#include "policy/circuit_breaker.h"
#include "policy/route_times.h"
#include "policy/shedding_queue.h"
#include "policy/slowdown_detector.h"
#include "wire/endpoint.h"

namespace hornbeam {

// How a call's wait for a slot ended.
enum class wait_end : std::uint8_t {
  kAdmitted,
  kMissesObjective,
  kMissesDeadline,
  kDrained
};

// Shared by the calls that run there: one that was replaced lives on until its
// last call has ended. Owned by the instance server and those calls.
struct upstream_life {
  instance_announcement announced;
  endpoint address;
  std::unique_ptr<http_client> client;
  shedding_queue queue;
  std::unordered_map<request_id, fiber_signal<wait_end>*> waiting;
  route_times times;
  slowdown_detector speed{slowdown_options{}};
  circuit_breaker failures{circuit_breaker_options{}};
  bool states_speed = false;  // Whether the upstream tells its load at all.
  time_point cold_until;      // Slow after its start until then.
  bool drained = false;
  bool reachable = true;
  bool was_found = false;  // By its health check; it has said nothing yet.

  // How many times the usual time work takes that begins now, for a call that
  // waits for the end of a slow spell or does not.
  [[nodiscard]] double Slowdown(bool waits, time_point now) const;

  // Tells the calls that no longer wait.
  void Apply(const shedding_change& change);
  void Tell(const std::vector<request_id>& ids, wait_end end);
};

}  // namespace hornbeam
