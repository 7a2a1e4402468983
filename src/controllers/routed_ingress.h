// HTTP ingress: forwards callers' requests to the serving nodes of upstreams.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/fleet_directory.h"
#include "hornbeam/platform_codec.h"
#include "http/http_server.h"
#include "policy/call_budget.h"
#include "policy/retry_after.h"
#include "policy/zone_aware_selection.h"
#include "routing/weighted_choice.h"
#include "wire/call_link.h"

namespace hornbeam {

class call_service;
class event_log;
class fiber_group;
class io_loop;
class random_source;

struct ingress_options {
  call_link_options link;
  zone_selection_options placement;
  retry_after_options retry_pacing;
  // Budget of each service, shared by all nodes, for the dispatches of a
  // request beyond its first, and the largest part of it that one node may
  // accumulate.
  shared_budget retries{.per_mille = 170, .burst = 52};
  std::uint32_t max_burst_per_node = 5;
};

// Requests of one route that completed since the counts were last logged.
struct route_counts {
  std::uint64_t answered = 0;  // Within the objective, no failed attempt.
  std::uint64_t others = 0;
};

// Statistics learnt from the requests of one route.
struct route_statistics {
  duration max_time_left{};  // Largest time limit of a caller.
  double mean_bytes = 0;     // Request plus answer, moving average.
};

// Routes each request to an upstream and retries it at another one where that
// is safe. For the I/O thread only; owned by the daemon, outlives the fibers
// that use it.
//
// A non-idempotent request is dispatched again only after the serving node, or
// the upstream itself, has confirmed that it did not run.
class routed_ingress final : public http_handler {
 public:
  // Calls for this node's own upstream go to `local` without a connection.
  routed_ingress(io_loop& loop, const clock_source& clock,
                 random_source& random, event_log& log,
                 const process_identity& self, std::string availability_zone,
                 const platform_codec& codec, fleet_directory& directory,
                 call_service& local, const ingress_options& options);
  ~routed_ingress() override;

  void Start(fiber_group& fibers);
  void Stop();
  // Sets the service of this node's own upstream. Requests that callers send
  // to this node are forwarded as originating from that service.
  void SetOwnService(std::string service) { own_service_ = std::move(service); }

  // Rejects requests from now on whose deadline is after `stop_at`, when this
  // process ends: an answer after that would be lost.
  void BeginDrain(time_point stop_at) { stop_at_ = stop_at; }

  http_response Handle(const http_request& request,
                       cancel_source& caller_disconnected) override;

  // Logs the request counts of each route and resets them.
  void LogCounts();

 private:
  struct routed_call;
  struct attempt_choice;

  std::shared_ptr<const routing_snapshot> WaitForTable(time_point deadline);
  bool WaitForUpstream(routed_call& call);
  http_response Fail(const routed_call& call, failure_kind kind,
                     end_reason reason);
  http_response RejectWhileDraining(const routed_call& call);
  http_response AnswerFailure(const routed_call& call,
                              const call_failure& failure);
  http_response Run(routed_call& call);
  std::optional<attempt_choice> ChooseUpstream(const routed_call& call);
  call_result Dispatch(const routed_call& call, const attempt_choice& choice);
  call_result DispatchLocal(const call_start& start, const routed_call& call);
  void LogFailedAttempt(const routed_call& call, const attempt_choice& choice,
                        const call_result& reply);
  void RecordResult(const routed_call& call, const attempt_choice& choice,
                    const call_result& reply);
  bool MayRetry(routed_call& call, const call_result& reply);
  duration MinWait(const routed_call& call);
  call_link& Link(const endpoint& address);
  call_budget& RetryBudget(const std::string& service);
  duration RemainingObjective(const std::string& route, duration objective,
                              const std::optional<duration>& time_left);

  io_loop& loop_;
  const clock_source& clock_;
  random_source& random_;
  event_log& log_;
  const process_identity self_;
  const std::string availability_zone_;
  const platform_codec& codec_;
  fleet_directory& directory_;
  call_service& local_;
  const ingress_options options_;
  std::string own_service_;
  time_point stop_at_ = time_point::max();
  fiber_group* fibers_ = nullptr;
  weighted_choice service_choice_;
  std::map<std::string, std::unique_ptr<call_link>> links_;
  std::map<std::string, call_budget> retry_budgets_;
  std::size_t max_known_nodes_ = 0;                     // Ever known at once.
  std::map<std::string, route_statistics> statistics_;  // By route.
  std::map<std::string, route_counts> counts_;
};

}  // namespace hornbeam
