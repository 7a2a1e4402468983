// Admission queue with load shedding for the calls of one upstream.
//
// Load pattern: the arrival rate changes by half within seconds, calls arrive
// in bursts, and for seconds they exceed the upstream's capacity. A plain FIFO
// queue then answers every call just after its objective. In this queue a call
// waits only as long as it can still be answered within its objective. A call
// that already misses its objective waits behind all others, and only when no
// other node would accept it. A call that cannot meet its deadline is rejected
// immediately.
//
// During an overload that lasts longer than the queue's wait, FIFO order starts
// each call at the very end of its allowed wait, so any call that takes a
// little longer than expected misses its objective. The queue is therefore LIFO
// while many calls wait, and calls that newer ones push past their latest start
// are rejected immediately, while they still have time to be served by another
// node or to be retried by the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// A call that requests a slot.
struct shedding_call {
  request_id id;
  // The call is much shorter than others at this upstream, and running work of
  // another service probably waits for it. It may use slots beyond the limit of
  // other calls, and when it misses its objective it may wait until its
  // deadline.
  bool expedited = false;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  time_point objective_at;     // An answer by then has its full value.
  time_point deadline;
  duration expected{};  // Service time at the upstream's current speed.
  // Share of the slack before the objective that the call may spend waiting;
  // the rest is reserve for work that takes longer than expected.
  double wait_share = 0.6;
  // No other node would accept the call, so it may wait although it will miss
  // its objective.
  bool no_alternative = false;
};

enum class shedding_verdict : std::uint8_t {
  kAdmitted,  // To be dispatched to the upstream now.
  kQueued,
  kMissesObjective,  // Rejected: it would miss its objective.
  // Rejected: it cannot meet its deadline, or it misses its objective and would
  // wait for longer than such a call may.
  kMissesDeadline,
};

struct shedding_decision {
  shedding_verdict verdict = shedding_verdict::kAdmitted;
  duration wait{};  // Expected time until the call gets a slot.
};

// Calls that left the queue, in the order of the decisions: those to dispatch,
// and those rejected as kMissesObjective or kMissesDeadline.
struct shedding_change {
  std::vector<request_id> admitted;
  std::vector<request_id> missing_objective;
  std::vector<request_id> missing_deadline;
};

// Order: calls that can still meet their objective first, then by priority,
// then by objective. While many calls wait, the calls that can still meet their
// objective are ordered differently within a priority: expedited calls first,
// since running work waits for them, then the newest. Owned by the state of one
// upstream. Not thread-safe; uses only the times passed in.
class shedding_queue {
 public:
  // Sets the number of calls that may run at once, and the higher limit that
  // applies to expedited calls.
  void SetLimits(std::uint32_t limit, std::uint32_t expedited_limit);
  // Stops admitting calls until Resume(), which is expected after `resumes_in`.
  void Pause(duration resumes_in);
  // Admits calls again and returns those that leave the queue.
  shedding_change Resume(time_point now);
  [[nodiscard]] bool IsPaused() const { return paused_; }

  // Admits, queues or rejects a new call.
  shedding_decision Offer(const shedding_call& call, time_point now);
  // Frees the slot of an admitted call that completed.
  shedding_change Release(time_point now);
  // Admits waiting calls to free slots, and rejects or reorders those that can
  // no longer meet their objective or their deadline.
  shedding_change Advance(time_point now);
  // Drops a waiting call. Returns false when the call is not waiting.
  bool Cancel(const request_id& id);
  // Removes all waiting calls and returns their ids.
  std::vector<request_id> Clear();

  // Returns the expected time until a slot is free behind all waiting calls; 0
  // with a limit of 0.
  [[nodiscard]] duration Backlog() const;
  // Returns when Advance is due next; std::nullopt while no call waits.
  [[nodiscard]] std::optional<time_point> NextChange() const;
  [[nodiscard]] std::size_t Running() const { return running_; }
  [[nodiscard]] std::size_t Waiting() const { return waiting_.size(); }
  [[nodiscard]] std::uint32_t Limit() const { return limit_; }

 private:
  struct entry {
    shedding_call call;
    time_point start_by;        // Latest start, with the reserve of wait_share.
    time_point reject_at;       // End of the wait once it misses the objective.
    std::uint64_t arrival = 0;  // Higher for later arrivals.
    bool misses_objective = false;
  };

  [[nodiscard]] bool RunsBefore(const entry& a, const entry& b) const;
  [[nodiscard]] bool HasSlot(const shedding_call& call) const;
  [[nodiscard]] duration ExpectedWait(const entry& offered) const;
  static void MarkMissesObjective(entry& each, time_point now);
  void Insert(const entry& added);
  void UpdateOrder();
  // Removes calls that cannot meet their deadline or have waited until
  // `reject_at`. Also removes calls whose latest start has passed or, while the
  // newest goes first, will pass before the calls ahead of them have started;
  // calls without an alternative move to the end instead.
  void RemoveOverdue(time_point now, shedding_change& change);
  void AdmitWaiting(shedding_change& change);

  std::uint32_t limit_ = 0;
  std::uint32_t expedited_limit_ = 0;
  bool paused_ = false;
  bool newest_first_ = false;
  std::uint64_t arrivals_ = 0;
  duration resumes_in_{};
  std::size_t running_ = 0;
  double mean_expected_us_ = 0;  // Expected service time of admitted calls.
  std::vector<entry> waiting_;   // In the order of admission.
};

}  // namespace hornbeam
