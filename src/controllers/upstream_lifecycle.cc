#include "controllers/upstream_lifecycle.h"

namespace hornbeam {

namespace {

constexpr double kNormalPercent = 100;
// Factor by which calls take longer at an upstream that has just started.
constexpr double kColdStartSlowdown = 2;

}  // namespace

double upstream_lifecycle::Slowdown(bool deferred, time_point now) const {
  const double reported_slowdown =
      deferred ? 1.0 : detector.Percent() / kNormalPercent;
  return reported_slowdown * (now < cold_until ? kColdStartSlowdown : 1.0);
}

void upstream_lifecycle::Apply(const shedding_change& change) {
  Notify(change.admitted, wait_result::kAdmitted);
  Notify(change.missing_objective, wait_result::kMissesObjective);
  Notify(change.missing_deadline, wait_result::kMissesDeadline);
}

void upstream_lifecycle::Notify(const std::vector<request_id>& ids,
                                wait_result end) {
  for (const request_id& id : ids) {
    const auto found = waiters.find(id);
    if (found != waiters.end()) found->second->Set(end);
  }
}

}  // namespace hornbeam
