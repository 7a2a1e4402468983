// Which calls an upstream's node lets run, wait or go, at the crest of a swing.
//
// Load pattern: arrivals swing by half within seconds, come in clumps, and for
// seconds exceed what the upstream can do. A plain queue then serves everyone
// just too late. Here a call waits only as long as it can still be answered
// within its objective; what is late already waits behind all that is not, and
// only where nobody else would take it; what cannot be served at all is refused
// at once.
//
// In a swing that outlasts the queue, one in order of age serves everyone at
// the very end of the time that they have: whatever takes a little longer is
// late. So the newest goes first while many wait, and those that it pushes
// beyond their time go at once, with time left to be served elsewhere or to
// come back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// A call that asks for a slot.
struct crest_call {
  request_id id;
  // Far shorter than others here, and likely to be waited for by work that runs
  // elsewhere: never waits for a slot behind those, and never gives up early.
  bool brief = false;
  std::uint32_t priority = 0;  // 0 is the most urgent.
  time_point objective_at;     // An answer by then has its full value.
  time_point deadline;
  duration expected{};  // At the upstream, as it is now.
  // Share of the wait that the objective leaves which may be used up by
  // waiting; the rest is for work that takes longer than expected.
  double wait_share = 0.6;
  // Nobody else would take it: it may wait although it will be late.
  bool settles = false;
};

enum class crest_verdict : std::uint8_t {
  kAdmitted,  // Hand it to the upstream now.
  kQueued,
  kLate,      // Refused: not within its objective.
  kHopeless,  // Refused: not by its deadline.
};

struct crest_decision {
  crest_verdict verdict = crest_verdict::kAdmitted;
  duration wait{};  // Until a slot is expected for it.
};

// Calls that no longer wait, in the order in which it was decided.
struct crest_change {
  std::vector<request_id> admitted;
  std::vector<request_id> late;
  std::vector<request_id> hopeless;
};

// Order: those that can still be in time, then by priority, then by objective,
// so that brief calls, which other work waits for, come first among equals;
// while many wait brief calls, then the newest. Not thread-safe; knows no clock
// but the times handed in.
class crest_queue {
 public:
  // Calls that may run at once, and those that may when brief ones are among
  // them.
  void SetLimits(std::uint32_t limit, std::uint32_t brief_limit);
  // Nothing begins while the queue is shut; it is expected to open in
  // `reopens_in`.
  void Shut(duration reopens_in);
  crest_change Open(time_point now);
  [[nodiscard]] bool IsShut() const { return shut_; }

  crest_decision Offer(const crest_call& call, time_point now);
  // A call that was admitted has ended.
  crest_change Release(time_point now);
  // Moves on what became late or hopeless, and fills free slots.
  crest_change Advance(time_point now);
  // Drops a waiting call; false when it does not wait.
  bool Cancel(const request_id& id);
  // Refuses everything that waits.
  std::vector<request_id> Clear();

  // Until a slot is expected behind everything that waits.
  [[nodiscard]] duration Backlog() const;
  // When Advance is due next; nothing while no call waits.
  [[nodiscard]] std::optional<time_point> NextChange() const;
  [[nodiscard]] std::size_t Running() const { return running_; }
  [[nodiscard]] std::size_t Waiting() const { return waiting_.size(); }
  [[nodiscard]] std::uint32_t Limit() const { return limit_; }

 private:
  struct entry {
    crest_call call;
    time_point start_by;        // To be in time.
    time_point give_up_at;      // Of a late one.
    std::uint64_t arrival = 0;  // Later ones have higher numbers.
    bool late = false;
  };

  [[nodiscard]] bool Before(const entry& a, const entry& b) const;
  [[nodiscard]] bool HasSlot(const crest_call& call) const;
  [[nodiscard]] duration ExpectedWait(const entry& offered) const;
  static void MakeLate(entry& each, time_point now);
  void Insert(const entry& added);
  void ChooseOrder();
  // Late to be served, by the clock or behind those that go first.
  void TakeOverdue(time_point now, crest_change& change);
  void Fill(crest_change& change);

  std::uint32_t limit_ = 0;
  std::uint32_t brief_limit_ = 0;
  bool shut_ = false;
  bool newest_first_ = false;
  std::uint64_t arrivals_ = 0;
  duration reopens_in_{};
  std::size_t running_ = 0;
  double mean_expected_us_ = 0;  // Of the calls that were admitted.
  std::vector<entry> waiting_;   // In order.
};

}  // namespace hornbeam
