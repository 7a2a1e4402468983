// Record of the attempts that a serving node has received. It is the
// authoritative state on which attempts ran at this node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hornbeam/clock_source.h"
#include "ledger/ledger_messages.h"

namespace hornbeam {

// Identifies one attempt that the ledger has granted.
struct attempt_reference {
  operation_key operation;
  std::uint32_t number = 0;
  // Time of the claim by the ledger's clock, in microseconds since 1970.
  std::int64_t claimed_at_us = 0;
};

// The complete answer of an upstream.
struct operation_answer {
  std::uint16_t status = 0;
  std::vector<header_field> headers;
  std::string body;

  bool operator==(const operation_answer&) const = default;
};

// Whether a received dispatch may run, and if not, why.
enum class dispatch_verdict : std::uint8_t {
  kRun,
  kWrongIncarnation,  // Claimed for another incarnation of this node: not run.
  kFenced,            // Fenced or rejected before: not run.
  kDuplicate,         // Already running or terminated.
  kForgotten,         // Its record may have been evicted: it may have run.
};

// State of an attempt according to this node's record.
enum class attempt_state : std::uint8_t {
  kNotRun,            // It never ran at this node and never will.
  kRunning,           // Queued or sent to the upstream.
  kAnswered,          // `answer` is complete.
  kLost,              // It was sent to the upstream, which did not answer.
  kForgotten,         // It may have run; its record or answer was evicted.
  kOtherIncarnation,  // It was claimed for another incarnation of this node.
};

// Reply to a fence.
struct attempt_report {
  attempt_state state = attempt_state::kForgotten;
  operation_answer answer;
};

struct attempt_guard_options {
  // Limit on the records of terminated attempts. The number of running ones is
  // bounded by the admission queue.
  std::size_t max_terminated = 200'000;
  // Limit on the total size of the retained answers.
  std::size_t max_answer_bytes = 32UL * 1024 * 1024;
  // How long an answer is retained if it is not acknowledged.
  duration answer_retention = std::chrono::seconds(120);
};

// Ensures that each attempt runs at most once, and never after it was fenced.
// Memory is bounded by eviction of the oldest claims. The guard keeps the claim
// time up to which records were evicted; an attempt claimed no later than
// that and without a record is neither run nor reported as "not run". Owned by
// the serving controller and used on its thread only.
class attempt_guard {
 public:
  attempt_guard(const clock_source& clock, std::uint64_t incarnation,
                const attempt_guard_options& options);

  // Decides whether a received dispatch, claimed for `incarnation`, may run.
  // After kRun, one of Reject, Finish and MarkLost must be called.
  dispatch_verdict Begin(const attempt_reference& attempt,
                         std::uint64_t incarnation);
  // Records that the attempt did not run and won't: it was not sent to the
  // upstream, or the upstream shed it.
  void Reject(const attempt_reference& attempt);
  // Records the upstream's answer.
  void Finish(const attempt_reference& attempt, operation_answer answer);
  // Records that the attempt was sent to the upstream and no answer arrived.
  void MarkLost(const attempt_reference& attempt);

  // Returns the state of the attempt, which was claimed for `incarnation`.
  // Fences an attempt that has not been received, so that it cannot run later.
  attempt_report Fence(const attempt_reference& attempt,
                       std::uint64_t incarnation);

  // Drops the retained answer, which is now in the ledger.
  void Acknowledge(const attempt_reference& attempt);

  [[nodiscard]] std::size_t AttemptCount() const { return entries_.size(); }
  [[nodiscard]] std::size_t AnswerBytes() const { return answer_bytes_; }

 private:
  // The latest attempt of one operation.
  struct entry {
    std::uint32_t number = 0;
    std::int64_t claimed_at_us = 0;
    attempt_state state = attempt_state::kNotRun;
    operation_answer answer;
  };
  struct retained_answer {
    operation_key operation;
    std::uint32_t number = 0;
    time_point until;
  };

  void RecordAttempt(const attempt_reference& attempt, attempt_state state);
  void Terminate(const attempt_reference& attempt, attempt_state state);
  entry* FindAttempt(const attempt_reference& attempt);
  void DropAnswer(entry& found);
  void EvictAnswers();
  void EvictTerminated();

  const clock_source& clock_;
  const std::uint64_t incarnation_;
  const attempt_guard_options options_;
  std::map<operation_key, entry> entries_;
  // Terminated entries by claim time, for eviction.
  std::set<std::pair<std::int64_t, operation_key>> terminated_;
  std::deque<retained_answer> retained_answers_;
  std::size_t answer_bytes_ = 0;
  // Latest claim time of an evicted entry, in microseconds since 1970.
  std::int64_t evicted_up_to_us_ = 0;
};

}  // namespace hornbeam
