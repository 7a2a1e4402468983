// Measures the CPU time of one routing decision by number of candidates.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "policy/ejector.h"
#include "policy/load_view.h"
#include "policy/picker.h"

namespace hornbeam {

namespace {

// Measures the steps of one call: load view, ejector filter, pick, dispatch,
// report and completion.
void RouteOneCall(benchmark::State& state) {
  const auto count = static_cast<std::uint64_t>(state.range(0));
  const system_clock_source clock;
  seeded_random_source random(1);
  load_view view(clock);
  ejector ejections(clock, {});
  std::vector<upstream_member> members;
  std::vector<upstream_id> ids;
  for (std::uint64_t index = 0; index < count; ++index) {
    ids.push_back({.node = "node-" + std::to_string(index), .incarnation = 1});
    members.push_back({.id = ids.back(),
                       .distance = index % 3 == 0 ? zone_distance::kSameZone
                                                  : zone_distance::kOtherZone});
  }
  view.SetMembers(members);
  ejections.SetMembers(ids);
  const auto chooser = MakePicker(picker_kind::kExpectedWait, random);
  load_report report{.incarnation = 1,
                     .slot_limit = 20,
                     .running_short = 8,
                     .service_time_short_us = 10000};
  for (auto unused : state) {
    (void)unused;
    const auto candidates = ejections.Eligible(view.Candidates());
    const auto decision = chooser->Pick(candidates, {});
    const upstream_id& id = candidates[*decision.chosen].id;
    const auto ticket = view.RecordDispatch(id, call_class::kShort);
    ++report.sequence;
    view.RecordReport(id, report);
    view.RecordCompletion(ticket, dispatch_result::kAnswered);
  }
}

BENCHMARK(RouteOneCall)->Arg(3)->Arg(5)->Arg(20);

}  // namespace

}  // namespace hornbeam

BENCHMARK_MAIN();
