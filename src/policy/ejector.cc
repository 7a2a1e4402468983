#include "policy/ejector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeam {

namespace {
constexpr std::size_t kPerMille = 1000;
}  // namespace

ejector::ejector(const clock_source& clock, ejector_options options)
    : clock_(clock), options_(options) {}

void ejector::SetMembers(std::span<const upstream_id> members) {
  std::unordered_map<upstream_id, upstream_record> kept;
  for (const upstream_id& member : members) {
    const auto found = records_.find(member);
    kept.emplace(member,
                 found == records_.end() ? upstream_record{} : found->second);
  }
  records_ = std::move(kept);
}

void ejector::RecordDispatch(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found == records_.end()) return;
  found->second.trial_in_flight = found->second.ejected;
}

void ejector::RecordSuccess(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found == records_.end()) return;
  upstream_record& record = found->second;
  record.consecutive_failures = 0;
  // The answer to a call sent before the ejection is no evidence of recovery.
  if (!record.ejected || !record.trial_in_flight) return;
  record.trial_in_flight = false;
  ++record.successes_in_trial;
  if (record.successes_in_trial < options_.successes_to_end_trial) return;
  record = upstream_record{};
}

void ejector::RecordFailure(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found == records_.end()) return;
  upstream_record& record = found->second;
  ++record.consecutive_failures;
  if (record.ejected) {
    if (record.trial_in_flight) Eject(record);
    return;
  }
  if (record.consecutive_failures < options_.failures_to_eject) return;
  if (CanEjectAnother()) Eject(record);
}

void ejector::RecordAbandoned(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found != records_.end()) found->second.trial_in_flight = false;
}

ejection_state ejector::State(const upstream_id& upstream) const {
  const auto found = records_.find(upstream);
  if (found == records_.end() || !found->second.ejected) {
    return ejection_state::kActive;
  }
  return clock_.Now() < found->second.ejected_until ? ejection_state::kEjected
                                                    : ejection_state::kTrial;
}

std::vector<candidate> ejector::Eligible(
    std::span<const candidate> candidates) const {
  std::vector<candidate> eligible;
  std::ranges::copy_if(
      candidates, std::back_inserter(eligible),
      [this](const candidate& each) { return IsEligible(each.id); });
  if (eligible.empty()) eligible.assign(candidates.begin(), candidates.end());
  return eligible;
}

bool ejector::IsEligible(const upstream_id& upstream) const {
  const ejection_state state = State(upstream);
  if (state != ejection_state::kTrial) return state == ejection_state::kActive;
  return !records_.at(upstream).trial_in_flight;
}

bool ejector::CanEjectAnother() const {
  const auto ejected = std::ranges::count_if(
      records_, [](const auto& entry) { return entry.second.ejected; });
  const std::size_t max_ejected =
      records_.size() * options_.max_ejected_per_mille / kPerMille;
  return static_cast<std::size_t>(ejected) < max_ejected;
}

void ejector::Eject(upstream_record& record) {
  record.ejection_time =
      record.ejected ? std::min(record.ejection_time * 2, options_.max_ejection)
                     : options_.initial_ejection;
  record.ejected = true;
  record.trial_in_flight = false;
  record.successes_in_trial = 0;
  record.ejected_until = clock_.Now() + record.ejection_time;
}

}  // namespace hornbeam
