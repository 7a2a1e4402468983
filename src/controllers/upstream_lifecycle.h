// State that a node keeps for one incarnation of its upstream.
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
#include "policy/refusal_memory.h"
#include "policy/route_times.h"
#include "policy/shedding_queue.h"
#include "policy/slowdown_detector.h"
#include "wire/endpoint.h"

namespace hornbeam {

// Result of a call's wait for a slot.
enum class wait_result : std::uint8_t {
  kAdmitted,
  kMissesObjective,
  kMissesDeadline,
  kDrained
};

// Owned jointly by the instance server and the calls that run at this
// incarnation, so that it outlives its replacement until the last of them
// completes. For the I/O thread only.
struct upstream_lifecycle {
  instance_announcement announced;
  endpoint address;
  std::unique_ptr<http_client> client;
  // Health checks carry no request id, so an answer to a call could pass for
  // theirs on a shared connection, and the other way round.
  std::unique_ptr<http_client> health_client;
  // Instance that answered the last health check; empty before the first one.
  std::string answering_instance;
  refusal_memory refused;
  shedding_queue queue;
  std::unordered_map<request_id, fiber_signal<wait_result>*> waiters;
  route_times times;
  slowdown_detector detector{slowdown_options{}};
  circuit_breaker breaker{circuit_breaker_options{}};
  bool reports_load = false;  // Whether the upstream reports its load.
  time_point cold_until;      // Calls take longer until the cold start ends.
  bool drained = false;
  bool reachable = true;
  // Found by a health check; not announced yet.
  bool found_by_health_check = false;

  // Returns the expected duration of a call that begins now as a multiple of
  // the usual one. With `deferred` the call waits for the end of a transient
  // slowdown, so the slowdown that the upstream reports is not counted.
  [[nodiscard]] double Slowdown(bool deferred, time_point now) const;

  // Notifies the calls that no longer wait.
  void Apply(const shedding_change& change);
  void Notify(const std::vector<request_id>& ids, wait_result end);
};

}  // namespace hornbeam
