#include "controllers/departure_tracker.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "base/event_log.h"
#include "controllers/departure_store.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

// Time limit of one read of the store.
constexpr duration kReadTimeout = std::chrono::seconds(1);
// Pause between two reads.
constexpr duration kReadInterval = std::chrono::milliseconds(50);

}  // namespace

departure_tracker::departure_tracker(const clock_source& clock, event_log& log,
                                     std::string node, departure_store* store)
    : clock_(clock),
      log_(log),
      node_(std::move(node)),
      store_(store),
      loaded_(store == nullptr) {}

void departure_tracker::Start(fiber_group& fibers,
                              std::function<void()> on_loaded) {
  on_loaded_ = std::move(on_loaded);
  if (!loaded_) fibers.Start([this] { LoadLoop(); });
}

void departure_tracker::Stop() {
  stopped_ = true;
  changed_.notify_all();
}

bool departure_tracker::WaitLoaded(time_point deadline) {
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, deadline, [this] { return loaded_ || stopped_; });
  return loaded_;
}

void departure_tracker::LoadLoop() {
  const time_point started = clock_.Now();
  while (!stopped_) {
    auto recorded = store_->Read(node_, clock_.Now() + kReadTimeout);
    if (!recorded) {
      io_loop::SleepFor(kReadInterval);
      continue;
    }
    Load(*recorded);
    log_.Write(event_id::kDeparturesLoaded,
               {{"node", node_},
                {"departures", durable_.All().size()},
                {"elapsed_ms", (clock_.Now() - started).count() / 1000}});
    on_loaded_();
    return;
  }
}

void departure_tracker::Load(const std::vector<upstream_departure>& recorded) {
  // What was added meanwhile is newer.
  const auto added = departures_.All();
  departures_.Restore({});
  for (const upstream_departure& each : recorded) {
    departures_.Record(each);
    durable_.Record(each);
  }
  for (const upstream_departure& each : added) departures_.Record(each);
  loaded_ = true;
  changed_.notify_all();
}

void departure_tracker::Add(std::string_view instance,
                            std::int64_t started_at_ms, bool start_known) {
  departures_.Record({.node = node_,
                      .instance = std::string(instance),
                      .started_at_ms = started_at_ms,
                      .start_known = start_known});
}

std::optional<upstream_departure> departure_tracker::Find(
    std::string_view instance) const {
  const auto& all = departures_.All();
  const auto found =
      std::ranges::find(all, instance, &upstream_departure::instance);
  if (found == all.end()) return std::nullopt;
  return *found;
}

bool departure_tracker::IsDurable(const upstream_departure& departure) const {
  const auto& all = durable_.All();
  return std::ranges::find(all, departure) != all.end();
}

bool departure_tracker::Confirm(std::string_view instance,
                                time_point deadline) {
  const auto departure = Find(instance);
  if (!departure || store_ == nullptr || IsDurable(*departure)) return true;
  const time_point started = clock_.Now();
  const bool recorded = store_->Record(*departure, deadline);
  if (recorded) durable_.Record(*departure);
  log_.Write(event_id::kDepartureRecorded,
             {{"node", node_},
              {"instance", departure->instance},
              {"started_at_ms", departure->started_at_ms},
              {"start_known", departure->start_known},
              {"recorded", recorded},
              {"elapsed_ms", (clock_.Now() - started).count() / 1000}});
  return recorded;
}

}  // namespace hornbeam
