// Admission queue for the calls of one upstream at its serving node.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"
#include "hornbeam/outcome.h"
#include "hornbeam/request_id.h"
#include "policy/service_time_estimate.h"

namespace hornbeam {

// How calls are handled in an overload, when all slots are taken.
enum class overload_policy : std::uint8_t {
  kWait,         // A call waits as long as its deadline can be met.
  kRejectEarly,  // A call is rejected when its expected wait exceeds a bound.
};

struct admission_options {
  overload_policy overload = overload_policy::kWait;
  // Maximum share of the slots for long calls, which may always use one slot.
  std::uint32_t long_share_per_mille = 500;
  // Number of slots that queued long calls get even while short calls wait.
  std::uint32_t guaranteed_long_slots = 1;
  std::size_t max_queued_short = 8192;
  std::size_t max_queued_long = 2048;
  // Bound on the expected wait of a short call under kRejectEarly. The bound
  // does not apply to long calls.
  duration early_wait = std::chrono::milliseconds(250);
  // Time over which a newly announced upstream gets all its slots, and the
  // number of slots that it starts with.
  duration slow_start_time = std::chrono::seconds(2);
  std::uint32_t slow_start_slots = 4;
  // Time after the start of a drain during which queued calls are still
  // admitted.
  duration drain_queue_time = std::chrono::seconds(1);
  service_time_options short_times;
  service_time_options long_times{
      .half_life = std::chrono::seconds(2),
      .default_time = std::chrono::milliseconds(500)};
};

struct admission_request {
  request_id id;
  call_class kind = call_class::kShort;
  time_point deadline;
  // The call is rejected when its expected wait is longer, since the ingress
  // node knows a faster upstream; duration::max() on the last attempt.
  duration wait_limit = duration::max();
};

enum class admission_verdict : std::uint8_t { kAdmitted, kQueued, kRejected };

// Why a call was rejected. A rejected call did not run.
enum class rejection_reason : std::uint8_t {
  kNone,
  kDraining,
  kQueueFull,
  kDeadline,        // It could not have been answered before its deadline.
  kEarly,           // The wait exceeds the bound of kRejectEarly.
  kTryAnotherNode,  // The wait exceeds the wait_limit of the request.
  kDuplicate,       // A call with this id is queued or running.
};

// Returns the name of the reason, such as "queue_full".
std::string_view RejectionReasonName(rejection_reason reason);

struct admission_decision {
  admission_verdict verdict = admission_verdict::kRejected;
  rejection_reason reason = rejection_reason::kNone;
  duration expected_wait{0};  // 0 if no wait was estimated.
};

struct rejected_call {
  request_id id;
  rejection_reason reason = rejection_reason::kNone;
};

// Calls that left the queue: the daemon starts the admitted ones at the
// upstream and notifies the ingress nodes of the rejected ones.
struct admission_change {
  std::vector<request_id> admitted;
  std::vector<rejected_call> rejected;
};

enum class cancel_verdict : std::uint8_t {
  kDropped,  // The call was queued and will never run.
  kRunning,  // The call is running; the upstream may be asked to cancel it.
  kUnknown,  // The call is neither queued nor running.
};

// Decides which calls run at one upstream, which wait and which are rejected.
// Queued calls run in the order of their deadlines, short before long except
// for the guaranteed long slots. Every admitted call has to be released once.
// Not thread-safe.
class admission_queue {
 public:
  // `clock` must outlive the queue.
  admission_queue(const clock_source& clock, admission_options options);

  // Replaces the options for later decisions. Queued and running calls are
  // kept, and so are the service time estimates with their options.
  void SetOptions(const admission_options& options) { options_ = options; }

  // Sets the number of slots that the upstream announced or that the
  // concurrency limit allows. Running calls are never stopped.
  admission_change SetSlots(std::uint32_t slots);
  // Starts the slow start of an upstream that was just announced.
  void BeginSlowStart();

  // Admits, queues or rejects a new call.
  admission_decision Offer(const admission_request& request);
  // Frees the slot of a running call. `ran_for` is its service time at the
  // upstream, std::nullopt when the upstream did not answer it. Does nothing
  // when no call with this id is running.
  admission_change Release(const request_id& id,
                           std::optional<duration> ran_for);
  // Drops a queued call. A running call keeps its slot until Release.
  cancel_verdict Cancel(const request_id& id);
  // Rejects queued calls that can no longer be answered before their deadline,
  // and admits calls to the slots that the slow start has added. Rejects all
  // queued calls once drain_queue_time has passed since BeginDrain. To be
  // called at NextExpiry or every few milliseconds.
  admission_change Expire();
  // Returns when Expire is due; std::nullopt while no call is queued.
  [[nodiscard]] std::optional<time_point> NextExpiry() const;

  // Rejects all new calls from now on. Queued calls may still start for
  // drain_queue_time.
  void BeginDrain();
  [[nodiscard]] bool IsDraining() const { return drain_end_.has_value(); }
  // Returns whether no call is queued or running.
  [[nodiscard]] bool IsIdle() const;

  // Writes the numbers of calls, the slots and the service times into `report`.
  void Describe(load_report& report) const;

 private:
  static constexpr std::size_t kClasses = 2;
  using queue_key = std::pair<time_point, std::uint64_t>;

  struct queued_call {
    queue_key key;
    call_class kind;
  };
  struct class_state {
    std::map<queue_key, request_id> queue;  // By deadline, then by arrival.
    service_time_estimate times;
  };

  [[nodiscard]] const class_state& StateOf(call_class kind) const;
  class_state& StateOf(call_class kind);
  [[nodiscard]] std::uint32_t SlotsNow() const;
  [[nodiscard]] std::uint32_t LongSlots(std::uint32_t slots) const;
  [[nodiscard]] std::uint32_t Running() const;
  [[nodiscard]] std::uint32_t ReportedUs(
      const service_time_estimate& times) const;
  [[nodiscard]] double ServiceUs(call_class kind) const;
  [[nodiscard]] bool HasSlot(call_class kind) const;
  [[nodiscard]] duration ExpectedWait(const admission_request& request) const;
  [[nodiscard]] rejection_reason Evaluate(const admission_request& request,
                                          duration wait) const;
  [[nodiscard]] std::optional<call_class> NextClass() const;
  void Start(const request_id& id, call_class kind);
  void Enqueue(const admission_request& request);
  void RejectOverdue(admission_change& change);
  void RejectQueued(rejection_reason reason, admission_change& change);
  void AdmitQueued(admission_change& change);

  const clock_source& clock_;
  admission_options options_;
  std::uint32_t slots_ = 0;
  std::optional<time_point> slow_start_began_;
  std::optional<time_point> drain_end_;
  std::uint64_t last_arrival_ = 0;
  std::array<class_state, kClasses> classes_;
  std::unordered_map<request_id, queued_call> queued_;
  std::unordered_map<request_id, call_class> running_;
};

}  // namespace hornbeam
