#include "ledger/attempt_guard.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace hornbeam {

namespace {

std::size_t SizeOf(const operation_answer& answer) {
  return std::accumulate(answer.headers.begin(), answer.headers.end(),
                         answer.body.size(),
                         [](std::size_t sum, const header_field& field) {
                           return sum + field.name.size() + field.value.size();
                         });
}

}  // namespace

attempt_guard::attempt_guard(const clock_source& clock,
                             std::uint64_t incarnation,
                             const attempt_guard_options& options)
    : clock_(clock), incarnation_(incarnation), options_(options) {}

dispatch_verdict attempt_guard::Begin(const attempt_reference& attempt,
                                      std::uint64_t incarnation) {
  if (incarnation != incarnation_) return dispatch_verdict::kWrongIncarnation;
  const auto found = entries_.find(attempt.operation);
  if (found == entries_.end()) {
    if (attempt.claimed_at_us <= evicted_up_to_us_)
      return dispatch_verdict::kForgotten;
    RecordAttempt(attempt, attempt_state::kRunning);
    return dispatch_verdict::kRun;
  }
  const entry& latest = found->second;
  // The ledger grants no further attempt after one that may have run, so this
  // dispatch is a duplicate or outdated.
  if (latest.state != attempt_state::kNotRun) {
    return dispatch_verdict::kDuplicate;
  }
  if (attempt.number <= latest.number) return dispatch_verdict::kFenced;
  RecordAttempt(attempt, attempt_state::kRunning);
  return dispatch_verdict::kRun;
}

void attempt_guard::Reject(const attempt_reference& attempt) {
  Terminate(attempt, attempt_state::kNotRun);
}

void attempt_guard::Finish(const attempt_reference& attempt,
                           operation_answer answer) {
  entry* running = FindAttempt(attempt);
  assert(running != nullptr);
  answer_bytes_ += SizeOf(answer);
  running->answer = std::move(answer);
  retained_answers_.push_back(
      {.operation = attempt.operation,
       .number = attempt.number,
       .until = clock_.Now() + options_.answer_retention});
  Terminate(attempt, attempt_state::kAnswered);
  EvictAnswers();
}

void attempt_guard::MarkLost(const attempt_reference& attempt) {
  Terminate(attempt, attempt_state::kLost);
}

attempt_report attempt_guard::Fence(const attempt_reference& attempt,
                                    std::uint64_t incarnation) {
  if (incarnation != incarnation_) {
    return {.state = attempt_state::kOtherIncarnation, .answer = {}};
  }
  EvictAnswers();
  const auto found = entries_.find(attempt.operation);
  if (found != entries_.end() && attempt.number <= found->second.number) {
    const entry& latest = found->second;
    // The ledger grants a later attempt only on proof that this one never ran.
    if (attempt.number < latest.number) {
      return {.state = attempt_state::kNotRun, .answer = {}};
    }
    return {.state = latest.state, .answer = latest.answer};
  }
  if (found == entries_.end() && attempt.claimed_at_us <= evicted_up_to_us_) {
    return {.state = attempt_state::kForgotten, .answer = {}};
  }
  // An earlier attempt of the operation may have run, so "not run" must not be
  // reported for a later one either.
  if (found != entries_.end() &&
      found->second.state != attempt_state::kNotRun) {
    return {.state = attempt_state::kForgotten, .answer = {}};
  }
  RecordAttempt(attempt, attempt_state::kNotRun);
  EvictTerminated();
  return {.state = attempt_state::kNotRun, .answer = {}};
}

void attempt_guard::Acknowledge(const attempt_reference& attempt) {
  entry* found = FindAttempt(attempt);
  if (found != nullptr) DropAnswer(*found);
}

void attempt_guard::RecordAttempt(const attempt_reference& attempt,
                                  attempt_state state) {
  entry& latest = entries_[attempt.operation];
  terminated_.erase({latest.claimed_at_us, attempt.operation});
  latest.number = attempt.number;
  latest.claimed_at_us = attempt.claimed_at_us;
  latest.state = state;
  if (state == attempt_state::kRunning) return;
  terminated_.emplace(attempt.claimed_at_us, attempt.operation);
}

void attempt_guard::Terminate(const attempt_reference& attempt,
                              attempt_state state) {
  assert(FindAttempt(attempt) != nullptr);
  assert(FindAttempt(attempt)->state == attempt_state::kRunning);
  RecordAttempt(attempt, state);
  EvictTerminated();
}

attempt_guard::entry* attempt_guard::FindAttempt(
    const attempt_reference& attempt) {
  const auto found = entries_.find(attempt.operation);
  if (found == entries_.end()) return nullptr;
  return found->second.number == attempt.number ? &found->second : nullptr;
}

void attempt_guard::DropAnswer(entry& found) {
  if (found.state != attempt_state::kAnswered) return;
  answer_bytes_ -= SizeOf(found.answer);
  found.answer = {};
  found.state = attempt_state::kForgotten;
}

void attempt_guard::EvictAnswers() {
  while (!retained_answers_.empty()) {
    const retained_answer& oldest = retained_answers_.front();
    const bool over = answer_bytes_ > options_.max_answer_bytes ||
                      retained_answers_.size() > options_.max_terminated ||
                      oldest.until <= clock_.Now();
    if (!over) return;
    Acknowledge({.operation = oldest.operation, .number = oldest.number});
    retained_answers_.pop_front();
  }
}

void attempt_guard::EvictTerminated() {
  while (terminated_.size() > options_.max_terminated) {
    const auto oldest = terminated_.begin();
    const auto found = entries_.find(oldest->second);
    evicted_up_to_us_ = std::max(evicted_up_to_us_, oldest->first);
    DropAnswer(found->second);
    entries_.erase(found);
    terminated_.erase(oldest);
  }
}

}  // namespace hornbeam
