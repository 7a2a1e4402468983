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
  // Share of a new sample in the smoothed latency.
  double latency_weight = 0.1;
  // Share of a new sample in the smoothed failure share.
  double failure_weight = 0.2;
  // Time in which a failure share that is not renewed falls to half.
  duration failure_half_life = std::chrono::seconds(5);
  // Calls dispatched within this time before a report came in are taken as not
  // contained in it.
  duration report_travel_time = std::chrono::milliseconds(1);
};

// An upstream of the service that this node may use.
struct upstream_member {
  upstream_id id;
  zone_distance distance = zone_distance::kSameZone;
};

// Names one dispatch between RecordDispatch and RecordEnd.
struct dispatch_ticket {
  upstream_id upstream;
  std::uint64_t number = 0;
};

// How a dispatch ended, as far as load is concerned.
enum class dispatch_end : std::uint8_t {
  kAnswered,   // A usable answer of the upstream.
  kFailed,     // A failure of the upstream, or its connection was lost.
  kRejected,   // The serving node refused the call; it did not run.
  kAbandoned,  // The caller or a faster hedge made it pointless.
};

// Keeps the last report, own outstanding calls, latency and failures of each
// upstream. One for each service and ingress node; not thread-safe.
class load_view {
 public:
  // `clock` must outlive the view.
  explicit load_view(const clock_source& clock, load_view_options options = {});

  // Replaces the membership; what is known of members that stay is kept.
  void SetMembers(std::span<const upstream_member> members);

  // Takes a report. False when it is ignored: an unknown upstream, another
  // incarnation, or a sequence not above the last one taken.
  bool RecordReport(const upstream_id& upstream, const load_report& report);

  // Notes that a call was sent to `upstream`.
  dispatch_ticket RecordDispatch(const upstream_id& upstream, call_class kind);
  // Notes its end. A ticket of a departed upstream or one ended before is
  // ignored.
  void RecordEnd(const dispatch_ticket& ticket, dispatch_end end);

  // The state of every member now, in the order of SetMembers; without those
  // that reported to be draining, unless all of them did.
  [[nodiscard]] std::vector<candidate> Candidates() const;

  // The member whose report is oldest, or missing, and at least `least_age`
  // old and not asked for within `least_age`; nothing when all are fresh.
  [[nodiscard]] std::optional<upstream_id> StalestMember(
      duration least_age) const;
  // Notes that a probe was sent, so that StalestMember names others meanwhile.
  void RecordProbe(const upstream_id& upstream);

 private:
  struct class_record {
    std::map<std::uint64_t, time_point> sent_at;  // Of calls out, by number.
    duration latency{0};
  };
  struct upstream_record {
    zone_distance distance = zone_distance::kSameZone;
    std::optional<load_report> report;
    time_point reported_at;
    std::optional<time_point> probed_at;
    // Dispatches from this number on cannot be contained in the report.
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
                    time_point sent_at, dispatch_end end);

  const clock_source& clock_;
  load_view_options options_;
  std::uint64_t last_number_ = 0;
  std::vector<upstream_id> order_;
  std::unordered_map<upstream_id, upstream_record> records_;
};

}  // namespace hornbeam
