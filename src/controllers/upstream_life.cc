#include "controllers/upstream_life.h"

namespace hornbeam {

namespace {

constexpr double kUsualPercent = 100;
// Work at an upstream that has just started takes about so many times as long.
constexpr double kColdFactor = 2;

}  // namespace

double upstream_life::Slowdown(bool waits, time_point now) const {
  const double stated = waits ? 1.0 : speed.Percent() / kUsualPercent;
  return stated * (now < cold_until ? kColdFactor : 1.0);
}

void upstream_life::Apply(const shedding_change& change) {
  Tell(change.admitted, wait_end::kAdmitted);
  Tell(change.missing_objective, wait_end::kMissesObjective);
  Tell(change.missing_deadline, wait_end::kMissesDeadline);
}

void upstream_life::Tell(const std::vector<request_id>& ids, wait_end end) {
  for (const request_id& id : ids) {
    const auto found = waiting.find(id);
    if (found != waiting.end()) found->second->Set(end);
  }
}

}  // namespace hornbeam
