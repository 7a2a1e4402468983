// Runs calls at the upstream beside this node: the authority for its admission
// and for the fate of what was sent to it.
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
  // An upstream that has not announced itself for so long is gone.
  duration announcement_timeout = std::chrono::seconds(5);
  admission_options admission;
  probe_budget_options probes;
  attempt_guard_options attempts;
};

// For the I/O thread only; owned by the daemon, outlives the fibers on it.
class serving_controller final : public call_service {
 public:
  serving_controller(io_loop& loop, const clock_source& clock, event_log& log,
                     const process_identity& self,
                     const serving_options& options);
  ~serving_controller() override;

  void Start(fiber_group& fibers);
  void Stop();

  // Takes an announcement; true when it tells anything new.
  bool Announce(const upstream_announcement& announcement);
  // The upstream leaves: as draining for good.
  bool Withdraw();
  // Forgets an upstream that has fallen silent; true when there was one.
  bool ExpireAnnouncement();

  // Refuses all new calls from now on; what is queued or running ends.
  void BeginDrain();
  // Refuses new calls for as long as an operator wants it.
  void SetDrainedByOperator(bool drained) { drained_by_operator_ = drained; }
  // Takes the settings of the upstream's service.
  void SetAdmission(const admission_options& options);

  served_call Serve(inbound_call& call) override;
  served_call Fence(const attempt_fence& fence) override;
  bool Probe(load_report& load) override;

  // The load now, as it rides on answers.
  load_report Report();
  // What the lease tells of the upstream; nothing while there is none.
  [[nodiscard]] std::optional<upstream_announcement> Announced() const;
  [[nodiscard]] bool IsDraining() const;
  [[nodiscard]] std::uint32_t RunningCalls() const { return running_; }

 private:
  // What a queued call waits for: kNone when it was admitted.
  using admission_signal = fiber_signal<rejection_reason>;

  served_call ServeAdmitted(inbound_call& call);
  served_call ServeAttempt(inbound_call& call);
  rejection_reason Admit(const std::shared_ptr<announced_upstream>& slot,
                         inbound_call& call);
  rejection_reason WaitQueued(announced_upstream& slot, inbound_call& call);
  served_call RunAtUpstream(announced_upstream& slot, inbound_call& call);
  served_call RunUnlessCancelled(announced_upstream& slot, inbound_call& call);
  void RequestUpstreamCancel(const request_id& id);
  void Retire();
  void FollowLimit(announced_upstream& slot);
  void Apply(const admission_change& change);
  void ExpiryLoop();

  io_loop& loop_;
  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  serving_options options_;
  fiber_group* fibers_ = nullptr;
  std::shared_ptr<announced_upstream> slot_;
  // Former lives of the upstream that still have calls.
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
