// Interface of the policies that select the upstream of a call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"
#include "policy/candidate.h"
#include "policy/expected_wait.h"

namespace hornbeam {

class random_source;

enum class picker_kind : std::uint8_t {
  kExpectedWait,
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
};

// Returns the name used in settings: expected_wait, random, round_robin,
// least_outstanding or two_choices.
std::string_view PickerKindName(picker_kind kind);
// Returns the kind with this name, or std::nullopt for an unknown name.
std::optional<picker_kind> ParsePickerKind(std::string_view name);

// Properties of a call that a picker takes into account.
struct pick_call {
  call_class kind = call_class::kShort;
};

// Score of one compared candidate, for the record of the decision. Scores are
// in microseconds for kExpectedWait and in calls for the baselines.
struct candidate_score {
  std::size_t index = 0;  // Index into the candidates given to Pick.
  double score = 0;
  duration report_age{0};
  bool has_report = false;
};

struct pick_decision {
  // Index into the candidates; std::nullopt if there were no candidates.
  std::optional<std::size_t> chosen;
  // The compared candidates, the chosen one first. The baselines list only the
  // chosen one.
  std::vector<candidate_score> scores;
  // Wait above which the serving node should reject the call, since another
  // upstream is expected to be faster; duration::max() for no limit.
  duration wait_limit = duration::max();
};

// Selects one of the candidates. The calling code leaves out ejected, draining
// and already tried upstreams. Owned by the ingress node; not thread-safe.
class picker {
 public:
  picker() = default;
  picker(const picker&) = delete;
  picker& operator=(const picker&) = delete;
  virtual ~picker() = default;

  virtual pick_decision Pick(std::span<const candidate> candidates,
                             const pick_call& call) = 0;
};

struct picker_options {
  expected_wait_options expected;
  // Number of random candidates that are compared at each distance.
  std::size_t sample_size = 2;
  // More distant upstreams are not considered if the best candidate so far is
  // at the current distance and its expected wait, with penalties, is below
  // this.
  duration max_near_wait = std::chrono::milliseconds(2);
  // Lower bound of pick_decision::wait_limit.
  duration min_wait_limit = std::chrono::milliseconds(5);
};

// Creates a picker. `random` must outlive it.
std::unique_ptr<picker> MakePicker(picker_kind kind, random_source& random,
                                   const picker_options& options = {});

}  // namespace hornbeam
