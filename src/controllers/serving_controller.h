// Admission and execution of calls at the local upstream, with the
// authoritative status of every attempt dispatched to it.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "controllers/announced_upstream.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"
#include "io/fiber_signal.h"
#include "ledger/attempt_guard.h"
#include "policy/probe_budget.h"
#include "wire/call_server.h"

namespace hornbeam {

class event_log;
class fiber_group;
class io_loop;

struct serving_options {
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
  // An upstream that has not announced itself for this long counts as gone.
  duration announcement_timeout = std::chrono::seconds(5);
  admission_options admission;
  probe_budget_options probes;
  attempt_guard_options attempts;
};

// Admits, queues and runs the calls that arrive for the local upstream, and
// enforces at-most-once execution of claimed attempts. For the I/O thread only;
// owned by the daemon, outlives the fibers that use it.
class serving_controller final : public call_service {
 public:
  serving_controller(io_loop& loop, const clock_source& clock, event_log& log,
                     const process_identity& self,
                     const serving_options& options);
  ~serving_controller() override;

  void Start(fiber_group& fibers);
  void Stop();

  // Handles an announcement of the upstream. Returns true when it differs from
  // the previous one.
  bool Announce(const upstream_announcement& announcement);
  // Removes the upstream: its queue drains and it gets no further calls.
  // Returns false when there is no upstream.
  bool Withdraw();
  // Removes the upstream when its last announcement is older than
  // `announcement_timeout`. Returns true when one was removed.
  bool ExpireAnnouncement();

  // Rejects all new calls from now on; queued and running calls complete.
  void BeginDrain();
  // Rejects new calls while `drained` is set by an operator.
  void SetDrainedByOperator(bool drained) { drained_by_operator_ = drained; }
  // Applies the admission settings of the upstream's service.
  void SetAdmission(const admission_options& options);

  served_call Serve(inbound_call& call) override;
  served_call Fence(const attempt_fence& fence) override;
  bool Probe(load_report& load) override;

  // Returns the current load, as attached to every answer.
  load_report Report();
  // Returns the announcement of the current upstream; std::nullopt while there
  // is none.
  [[nodiscard]] std::optional<upstream_announcement> Announced() const;
  [[nodiscard]] bool IsDraining() const;
  [[nodiscard]] std::uint32_t RunningCalls() const { return running_; }

 private:
  // Signals the admission decision to a queued call: kNone when it was
  // admitted, else the reason for its rejection.
  using admission_signal = fiber_signal<rejection_reason>;

  served_call ServeAdmitted(inbound_call& call);
  served_call ServeAttempt(inbound_call& call);
  rejection_reason Admit(const std::shared_ptr<announced_upstream>& announced,
                         inbound_call& call);
  rejection_reason WaitQueued(announced_upstream& announced,
                              inbound_call& call);
  served_call RunAtUpstream(announced_upstream& announced, inbound_call& call);
  served_call RunUnlessCancelled(announced_upstream& announced,
                                 inbound_call& call);
  void RequestUpstreamCancel(const request_id& id);
  void Retire();
  void ApplyConcurrencyLimit(announced_upstream& announced);
  void SignalWaiting(const admission_change& change);
  void ExpiryLoop();

  io_loop& loop_;
  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  serving_options options_;
  fiber_group* fibers_ = nullptr;
  std::shared_ptr<announced_upstream> announced_upstream_;
  // Previous incarnations of the upstream that still have queued or running
  // calls.
  std::vector<std::shared_ptr<announced_upstream>> retired_;
  time_point announced_at_;
  bool draining_ = false;
  bool drained_by_operator_ = false;
  bool stopped_ = false;
  std::uint32_t running_ = 0;
  std::uint64_t report_sequence_ = 0;
  probe_budget probes_;
  attempt_guard attempts_;
  std::unordered_map<request_id, admission_signal*> waiting_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable queue_grew_;
};

}  // namespace hornbeam
