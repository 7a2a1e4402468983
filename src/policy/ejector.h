// Outlier ejection: removes failing upstreams from load balancing for a while,
// up to a bounded share of the service.
#pragma once

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "hornbeam/clock_source.h"
#include "policy/candidate.h"
#include "policy/upstream_id.h"

namespace hornbeam {

struct ejector_options {
  // Consecutive failures that eject an upstream.
  std::uint32_t failures_to_eject = 5;
  // Largest share of the members that is ejected at the same time, rounded
  // down.
  std::uint32_t max_ejected_per_mille = 340;
  // Time of the first ejection. It doubles after each failed trial, up to
  // `max_ejection`.
  duration initial_ejection = std::chrono::seconds(1);
  duration max_ejection = std::chrono::seconds(30);
  // Consecutive successes that end the trial.
  std::uint32_t successes_to_end_trial = 3;
};

enum class ejection_state : std::uint8_t {
  kActive,
  kEjected,  // Receives no calls.
  kTrial,    // Receives one call at a time until enough have succeeded.
};

// Tracks the results of one service's calls at one ingress node. Not
// thread-safe.
class ejector {
 public:
  // `clock` must outlive the ejector.
  ejector(const clock_source& clock, ejector_options options);

  // Replaces the members, of which a share may be ejected. Drops the state of
  // upstreams that are not among them.
  void SetMembers(std::span<const upstream_id> members);

  // Records that a call is sent to `upstream`. For an ejected upstream it is
  // the trial call in flight.
  void RecordDispatch(const upstream_id& upstream);
  // Records the result of a call. A rejection by the serving node is not a
  // failure.
  void RecordSuccess(const upstream_id& upstream);
  void RecordFailure(const upstream_id& upstream);
  // Records that a call terminated without a result that counts, such as a
  // cancelled call.
  void RecordAbandoned(const upstream_id& upstream);

  // Returns the current state; kActive for an upstream that is not a member.
  [[nodiscard]] ejection_state State(const upstream_id& upstream) const;
  // Returns the candidates that may receive a call now, or all candidates if
  // none of them may.
  [[nodiscard]] std::vector<candidate> Eligible(
      std::span<const candidate> candidates) const;

 private:
  struct upstream_record {
    bool ejected = false;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t successes_in_trial = 0;
    bool trial_in_flight = false;
    duration ejection_time{0};
    time_point ejected_until;
  };

  [[nodiscard]] bool IsEligible(const upstream_id& upstream) const;
  [[nodiscard]] bool CanEjectAnother() const;
  void Eject(upstream_record& record);

  const clock_source& clock_;
  ejector_options options_;
  std::unordered_map<upstream_id, upstream_record> records_;
};

}  // namespace hornbeam
