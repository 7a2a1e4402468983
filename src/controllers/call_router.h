// Routing of calls to serving nodes, with retries and hedging.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/service_state.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/header_field.h"
#include "hornbeam/outcome.h"
#include "hornbeam/request_id.h"
#include "policy/picker.h"
#include "policy/upstream_id.h"
#include "wire/call_link.h"
#include "wire/messages.h"

namespace hornbeam {

class call_service;
class cancel_source;
class event_log;
class fiber_group;
class io_loop;
class random_source;

// A call to be dispatched. The views must stay valid until the call completes.
struct outgoing_call {
  request_id id;  // Of the caller's request; each dispatch has its own.
  std::string_view method;
  std::string_view target;
  std::span<const header_field> headers;
  std::string_view body;
  call_class kind = call_class::kShort;
  bool idempotent = true;
  time_point deadline;
  cancel_source* cancel = nullptr;
  std::optional<claimed_attempt> attempt;  // Non-idempotent calls only.
};

// The upstream chosen for one dispatch.
struct route_choice {
  upstream_id upstream;
  endpoint address;
  duration wait_limit = duration::max();
};

// Chooses a serving node for each call and dispatches the call to it, with
// retries and hedging within the service's budgets. For the I/O thread only;
// owned by the daemon, outlives the fibers that use it.
class call_router {
 public:
  // Calls for this node's own upstream go to `local` without a connection.
  call_router(io_loop& loop, const clock_source& clock, random_source& random,
              event_log& log, const process_identity& self, call_service& local,
              const call_link_options& options);
  ~call_router();
  call_router(const call_router&) = delete;
  call_router& operator=(const call_router&) = delete;

  void Start(fiber_group& fibers);
  void Stop();

  // Chooses an upstream that is not in `tried`; std::nullopt when there is
  // none.
  std::optional<route_choice> Choose(service_state& service,
                                     const outgoing_call& call,
                                     std::span<const upstream_id> tried);

  // Dispatches the call once and waits until it completes.
  call_result Dispatch(service_state& service, const outgoing_call& call,
                       const route_choice& choice);

  // Chooses an upstream and dispatches the call, and retries at other upstreams
  // while that is safe and the retry budget allows it.
  call_result Route(const std::shared_ptr<service_state>& service,
                    const outgoing_call& call);

  // Requests a load report from the node of `upstream` if a connection to it
  // exists. The caller must have spent the service's probe budget.
  void Probe(const std::shared_ptr<service_state>& service,
             const upstream_id& upstream);

  // Asks the node of `upstream` to fence an attempt that was claimed for it.
  // The result kNotRun proves that the attempt never ran and never will.
  call_result Fence(service_state& service, const upstream_id& upstream,
                    const claimed_attempt& attempt, time_point deadline);

 private:
  struct hedged_call;

  call_link& Link(const endpoint& address, call_class kind);
  call_result DispatchHedged(const std::shared_ptr<service_state>& service,
                             const outgoing_call& call,
                             const route_choice& first,
                             std::vector<upstream_id>& tried, duration delay);
  void StartHedged(const std::shared_ptr<hedged_call>& hedged,
                   const route_choice& choice);
  call_result DispatchLocal(const call_start& start, const outgoing_call& call);
  void RecordCompletion(service_state& service, const outgoing_call& call,
                        const route_choice& choice,
                        const dispatch_ticket& ticket,
                        const call_result& ended);
  void LogChoice(const service_state& service, const outgoing_call& call,
                 std::span<const candidate> candidates,
                 const pick_decision& decision, std::size_t attempts);

  io_loop& loop_;
  const clock_source& clock_;
  random_source& random_;
  event_log& log_;
  const process_identity self_;
  call_service& local_;
  const call_link_options options_;
  fiber_group* fibers_ = nullptr;
  std::map<std::pair<std::string, call_class>, std::unique_ptr<call_link>>
      links_;
};

}  // namespace hornbeam
