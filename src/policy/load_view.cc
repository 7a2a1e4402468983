#include "policy/load_view.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace hornbeam {

namespace {

duration Blend(duration old_value, duration sample, double weight) {
  if (old_value == duration::zero()) return sample;
  const auto change = static_cast<double>((sample - old_value).count());
  return old_value + duration(std::llround(change * weight));
}

}  // namespace

load_view::load_view(const clock_source& clock, load_view_options options)
    : clock_(clock), options_(options) {}

void load_view::SetMembers(std::span<const upstream_member> members) {
  std::unordered_map<upstream_id, upstream_record> kept;
  member_ids_.clear();
  for (const upstream_member& member : members) {
    const auto found = records_.find(member.id);
    auto [entry, is_new] = kept.try_emplace(member.id);
    if (!is_new) continue;
    if (found != records_.end()) entry->second = std::move(found->second);
    entry->second.distance = member.distance;
    member_ids_.push_back(member.id);
  }
  records_ = std::move(kept);
}

bool load_view::RecordReport(const upstream_id& upstream,
                             const load_report& report) {
  const auto found = records_.find(upstream);
  if (found == records_.end()) return false;
  if (report.incarnation != upstream.incarnation) return false;
  upstream_record& record = found->second;
  if (record.report && report.sequence <= record.report->sequence) return false;

  const time_point now = clock_.Now();
  record.report = report;
  record.reported_at = now;
  const time_point contained_until = now - options_.report_travel_time;
  record.first_unreported = last_number_ + 1;
  for (const class_record* calls : {&record.short_calls, &record.long_calls}) {
    // Starts at the newest call, since only a few calls were sent too late to
    // be contained in the report.
    for (const auto& [number, sent_at] : calls->sent_at | std::views::reverse) {
      if (sent_at <= contained_until) break;
      record.first_unreported = std::min(record.first_unreported, number);
    }
  }
  return true;
}

dispatch_ticket load_view::RecordDispatch(const upstream_id& upstream,
                                          call_class kind) {
  const dispatch_ticket ticket{.upstream = upstream, .number = ++last_number_};
  const auto found = records_.find(upstream);
  if (found == records_.end()) return ticket;
  class_record& calls = kind == call_class::kShort ? found->second.short_calls
                                                   : found->second.long_calls;
  calls.sent_at.emplace(ticket.number, clock_.Now());
  return ticket;
}

void load_view::RecordCompletion(const dispatch_ticket& ticket,
                                 dispatch_result result) {
  const auto found = records_.find(ticket.upstream);
  if (found == records_.end()) return;
  upstream_record& record = found->second;
  for (class_record* calls : {&record.short_calls, &record.long_calls}) {
    const auto call = calls->sent_at.extract(ticket.number);
    if (!call.empty()) RecordSample(record, *calls, call.mapped(), result);
  }
}

void load_view::RecordSample(upstream_record& record, class_record& calls,
                             time_point sent_at, dispatch_result result) {
  if (result == dispatch_result::kRejected ||
      result == dispatch_result::kAbandoned)
    return;
  const time_point now = clock_.Now();
  const double failed = result == dispatch_result::kFailed ? 1 : 0;
  const double share = FailureShare(record);
  record.failure_share = share + (failed - share) * options_.failure_weight;
  record.failure_at = now;
  if (result == dispatch_result::kFailed) return;
  calls.latency = Blend(calls.latency, now - sent_at, options_.latency_weight);
}

std::vector<candidate> load_view::Candidates() const {
  std::vector<candidate> candidates;
  candidates.reserve(member_ids_.size());
  for (const upstream_id& id : member_ids_) {
    const upstream_record& record = records_.at(id);
    candidates.push_back(candidate{
        .id = id, .distance = record.distance, .load = Describe(record)});
  }
  const auto is_draining = [](const candidate& each) {
    return each.load.report.draining;
  };
  if (!std::ranges::all_of(candidates, is_draining)) {
    std::erase_if(candidates, is_draining);
  }
  return candidates;
}

std::optional<upstream_id> load_view::StalestMember(duration min_age) const {
  const time_point now = clock_.Now();
  const upstream_id* stalest = nullptr;
  duration greatest_age = min_age;
  for (const upstream_id& id : member_ids_) {
    const upstream_record& record = records_.at(id);
    if (record.probed_at && now - *record.probed_at < min_age) continue;
    const duration age =
        record.report ? now - record.reported_at : duration::max();
    if (age < greatest_age) continue;
    greatest_age = age;
    stalest = &id;
  }
  if (stalest == nullptr) return std::nullopt;
  return *stalest;
}

void load_view::RecordProbe(const upstream_id& upstream) {
  const auto found = records_.find(upstream);
  if (found != records_.end()) found->second.probed_at = clock_.Now();
}

upstream_load load_view::Describe(const upstream_record& record) const {
  upstream_load load;
  load.has_report = record.report.has_value();
  if (record.report) load.report = *record.report;
  if (record.report) load.report_age = clock_.Now() - record.reported_at;
  load.short_calls = Observe(record, record.short_calls);
  load.long_calls = Observe(record, record.long_calls);
  constexpr double kPerMille = 1000;
  const double reported = load.report.failure_per_mille / kPerMille;
  load.failure_share = std::max(FailureShare(record), reported);
  return load;
}

class_observation load_view::Observe(const upstream_record& record,
                                     const class_record& calls) const {
  class_observation observation{.latency = calls.latency};
  if (calls.sent_at.empty()) return observation;
  observation.outstanding = static_cast<std::uint32_t>(calls.sent_at.size());
  const auto unreported = calls.sent_at.lower_bound(record.first_unreported);
  observation.unreported = static_cast<std::uint32_t>(
      std::distance(unreported, calls.sent_at.end()));
  observation.oldest_outstanding = clock_.Now() - calls.sent_at.begin()->second;
  return observation;
}

double load_view::FailureShare(const upstream_record& record) const {
  if (record.failure_share == 0) return 0;
  const duration age = clock_.Now() - record.failure_at;
  const double half_lives =
      std::chrono::duration<double>(age) /
      std::chrono::duration<double>(options_.failure_half_life);
  return record.failure_share * std::exp2(-half_lives);
}

}  // namespace hornbeam
