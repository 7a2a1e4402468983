// The ingress node's view of the upstreams of one service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/load_report.h"
#include "hornbeam/outcome.h"
#include "policy/candidate.h"
#include "policy/upstream_id.h"

namespace hornbeam {

struct load_view_options {
  // Weight of a new sample in the smoothed latency.
  double latency_weight = 0.1;
  // Weight of a new sample in the smoothed failure share.
  double failure_weight = 0.2;
  // Half-life of the failure share while no calls complete.
  duration failure_half_life = std::chrono::seconds(5);
  // Calls dispatched less than this time before a report arrived are assumed
  // not to be contained in it.
  duration report_travel_time = std::chrono::milliseconds(1);
};

// An upstream of the service that this node may use.
struct upstream_member {
  upstream_id id;
  zone_distance distance = zone_distance::kSameZone;
};

// Identifies one dispatch between RecordDispatch and RecordCompletion.
struct dispatch_ticket {
  upstream_id upstream;
  std::uint64_t number = 0;
};

// Result of a dispatch, as far as it concerns the load of the upstream.
enum class dispatch_result : std::uint8_t {
  kAnswered,   // The upstream sent a usable answer.
  kFailed,     // The upstream failed, or the connection to it was lost.
  kRejected,   // The serving node rejected the call; it did not run.
  kAbandoned,  // The caller left, or another attempt of a hedge was faster.
};

// Holds the last report of each upstream, and the outstanding calls, latency
// and failures that this ingress node observed. One instance per service and
// ingress node; not thread-safe.
class load_view {
 public:
  // `clock` must outlive the view.
  explicit load_view(const clock_source& clock, load_view_options options = {});

  // Replaces the members. The state of remaining members is kept.
  void SetMembers(std::span<const upstream_member> members);

  // Stores a report. Returns false if it is ignored: its upstream is unknown,
  // its incarnation differs, or its sequence number is not above that of the
  // stored report.
  bool RecordReport(const upstream_id& upstream, const load_report& report);

  // Records that a call was sent to `upstream`. Returns the ticket for
  // RecordCompletion.
  dispatch_ticket RecordDispatch(const upstream_id& upstream, call_class kind);
  // Records the result of a dispatch. Ignored if the upstream is no longer a
  // member or the result was recorded before.
  void RecordCompletion(const dispatch_ticket& ticket, dispatch_result result);

  // Returns the current state of the members, in the order of SetMembers.
  // Members that report to be draining are left out, unless all members do.
  [[nodiscard]] std::vector<candidate> Candidates() const;

  // Returns the member with the oldest or no report, among those whose report
  // is at least `min_age` old and that were not probed within `min_age`.
  // Returns std::nullopt if there is none.
  [[nodiscard]] std::optional<upstream_id> StalestMember(
      duration min_age) const;
  // Records that a probe was sent, so that StalestMember returns other members
  // in the meantime.
  void RecordProbe(const upstream_id& upstream);

 private:
  struct class_record {
    // Dispatch times of the outstanding calls by ticket number.
    std::map<std::uint64_t, time_point> sent_at;
    duration latency{0};
  };
  struct upstream_record {
    zone_distance distance = zone_distance::kSameZone;
    std::optional<load_report> report;
    time_point reported_at;
    std::optional<time_point> probed_at;
    // The report does not contain dispatches from this ticket number on.
    std::uint64_t first_unreported = 0;
    class_record short_calls;
    class_record long_calls;
    double failure_share = 0;
    time_point failure_at;
  };

  [[nodiscard]] upstream_load Describe(const upstream_record& record) const;
  [[nodiscard]] class_observation Observe(const upstream_record& record,
                                          const class_record& calls) const;
  [[nodiscard]] double FailureShare(const upstream_record& record) const;
  void RecordSample(upstream_record& record, class_record& calls,
                    time_point sent_at, dispatch_result result);

  const clock_source& clock_;
  load_view_options options_;
  std::uint64_t last_number_ = 0;
  std::vector<upstream_id> member_ids_;
  std::unordered_map<upstream_id, upstream_record> records_;
};

}  // namespace hornbeam
