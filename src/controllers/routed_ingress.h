// Takes requests of callers and sends them to the nodes beside upstreams.
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
  retry_after_options returns;
  // Dispatches beyond the first of each request, for each service, by all
  // nodes together; and what one node may save up of them.
  shared_budget repeats{.per_mille = 170, .burst = 52};
  std::uint32_t most_burst_each = 5;
};

// How requests of one route ended since the last line of the log.
struct route_counts {
  std::uint64_t answered = 0;
  std::uint64_t others = 0;
};

// What is learnt about the requests of one route.
struct route_habits {
  duration longest_left{};  // That a caller gave.
  double bytes = 0;         // Of request and answer, smoothed.
};

// For the I/O thread only; owned by the daemon, outlives the fibers on it.
//
// A non-idempotent request is dispatched again only on the word of the serving
// node, or of the upstream itself, that it did not run.
class routed_ingress final : public http_handler {
 public:
  // Calls for this node's own upstream go to `local` without a connection.
  // `own_service` names the service beside this node.
  routed_ingress(io_loop& loop, const clock_source& clock,
                 random_source& random, event_log& log,
                 const process_identity& self, std::string availability_zone,
                 const platform_codec& codec, fleet_directory& directory,
                 call_service& local, const ingress_options& options);
  ~routed_ingress() override;

  void Start(fiber_group& fibers);
  void Stop();
  // The service where requests begin that callers send here.
  void SetOwnService(std::string service) { own_service_ = std::move(service); }

  http_response Handle(const http_request& request,
                       cancel_source& caller_gone) override;

  // Writes the counts of requests that had no lines of their own.
  void LogCounts();

 private:
  struct routed_call;
  struct attempt_choice;

  std::shared_ptr<const routing_snapshot> WaitForTable(time_point deadline);
  bool WaitForUpstream(routed_call& call);
  http_response Fail(const routed_call& call, failure_kind kind,
                     std::string_view reason);
  http_response Run(routed_call& call);
  std::optional<attempt_choice> Choose(const routed_call& call);
  call_result Dispatch(const routed_call& call, const attempt_choice& choice);
  call_result DispatchLocal(const call_start& start, const routed_call& call);
  void LogMiss(const routed_call& call, const attempt_choice& choice,
               const call_result& ended);
  void RecordEnd(const routed_call& call, const attempt_choice& choice,
                 const call_result& ended);
  bool MayRepeat(routed_call& call, const call_result& ended);
  duration LeastWait(const routed_call& call);
  call_link& Link(const endpoint& address);
  call_budget& Repeats(const std::string& service);
  duration ObjectiveLeft(const std::string& route, duration objective,
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
  fiber_group* fibers_ = nullptr;
  weighted_choice parts_;
  std::map<std::string, std::unique_ptr<call_link>> links_;
  std::map<std::string, call_budget> repeats_;
  std::size_t most_nodes_ = 0;                  // That were known at once.
  std::map<std::string, route_habits> habits_;  // By route.
  std::map<std::string, route_counts> counts_;
};

}  // namespace hornbeam
