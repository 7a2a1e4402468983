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
    if (attempt.claimed_at_us <= floor_us_) return dispatch_verdict::kForgotten;
    Remember(attempt, attempt_knowledge::kRunning);
    return dispatch_verdict::kRun;
  }
  const entry& latest = found->second;
  // The ledger grants no further attempt after one that may have run, so this
  // dispatch is a duplicate or outdated.
  if (latest.knowledge != attempt_knowledge::kNotRun) {
    return dispatch_verdict::kSeen;
  }
  if (attempt.number <= latest.number) return dispatch_verdict::kFenced;
  Remember(attempt, attempt_knowledge::kRunning);
  return dispatch_verdict::kRun;
}

void attempt_guard::Refuse(const attempt_reference& attempt) {
  End(attempt, attempt_knowledge::kNotRun);
}

void attempt_guard::Finish(const attempt_reference& attempt,
                           operation_answer answer) {
  entry* running = FindAttempt(attempt);
  assert(running != nullptr);
  answer_bytes_ += SizeOf(answer);
  running->answer = std::move(answer);
  kept_answers_.push_back({.operation = attempt.operation,
                           .number = attempt.number,
                           .until = clock_.Now() + options_.answer_time});
  End(attempt, attempt_knowledge::kAnswered);
  TrimAnswers();
}

void attempt_guard::Lose(const attempt_reference& attempt) {
  End(attempt, attempt_knowledge::kLost);
}

attempt_report attempt_guard::Fence(const attempt_reference& attempt,
                                    std::uint64_t incarnation) {
  if (incarnation != incarnation_) {
    return {.knowledge = attempt_knowledge::kOtherIncarnation, .answer = {}};
  }
  TrimAnswers();
  const auto found = entries_.find(attempt.operation);
  if (found != entries_.end() && attempt.number <= found->second.number) {
    const entry& latest = found->second;
    // The ledger grants a later attempt only on proof that this one never ran.
    if (attempt.number < latest.number) {
      return {.knowledge = attempt_knowledge::kNotRun, .answer = {}};
    }
    return {.knowledge = latest.knowledge, .answer = latest.answer};
  }
  if (found == entries_.end() && attempt.claimed_at_us <= floor_us_) {
    return {.knowledge = attempt_knowledge::kForgotten, .answer = {}};
  }
  // An earlier attempt of the operation may have run, so "not run" must not be
  // reported for a later one either.
  if (found != entries_.end() &&
      found->second.knowledge != attempt_knowledge::kNotRun) {
    return {.knowledge = attempt_knowledge::kForgotten, .answer = {}};
  }
  Remember(attempt, attempt_knowledge::kNotRun);
  TrimEnded();
  return {.knowledge = attempt_knowledge::kNotRun, .answer = {}};
}

void attempt_guard::Acknowledge(const attempt_reference& attempt) {
  entry* found = FindAttempt(attempt);
  if (found != nullptr) DropAnswer(*found);
}

void attempt_guard::Remember(const attempt_reference& attempt,
                             attempt_knowledge knowledge) {
  entry& latest = entries_[attempt.operation];
  ended_.erase({latest.claimed_at_us, attempt.operation});
  latest.number = attempt.number;
  latest.claimed_at_us = attempt.claimed_at_us;
  latest.knowledge = knowledge;
  if (knowledge == attempt_knowledge::kRunning) return;
  ended_.emplace(attempt.claimed_at_us, attempt.operation);
}

void attempt_guard::End(const attempt_reference& attempt,
                        attempt_knowledge knowledge) {
  assert(FindAttempt(attempt) != nullptr);
  assert(FindAttempt(attempt)->knowledge == attempt_knowledge::kRunning);
  Remember(attempt, knowledge);
  TrimEnded();
}

attempt_guard::entry* attempt_guard::FindAttempt(
    const attempt_reference& attempt) {
  const auto found = entries_.find(attempt.operation);
  if (found == entries_.end()) return nullptr;
  return found->second.number == attempt.number ? &found->second : nullptr;
}

void attempt_guard::DropAnswer(entry& found) {
  if (found.knowledge != attempt_knowledge::kAnswered) return;
  answer_bytes_ -= SizeOf(found.answer);
  found.answer = {};
  found.knowledge = attempt_knowledge::kForgotten;
}

void attempt_guard::TrimAnswers() {
  while (!kept_answers_.empty()) {
    const kept_answer& oldest = kept_answers_.front();
    const bool over = answer_bytes_ > options_.max_answer_bytes ||
                      kept_answers_.size() > options_.max_ended ||
                      oldest.until <= clock_.Now();
    if (!over) return;
    Acknowledge({.operation = oldest.operation, .number = oldest.number});
    kept_answers_.pop_front();
  }
}

void attempt_guard::TrimEnded() {
  while (ended_.size() > options_.max_ended) {
    const auto oldest = ended_.begin();
    const auto found = entries_.find(oldest->second);
    floor_us_ = std::max(floor_us_, oldest->first);
    DropAnswer(found->second);
    entries_.erase(found);
    ended_.erase(oldest);
  }
}

}  // namespace hornbeam
