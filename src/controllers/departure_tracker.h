// Which incarnations of a node's upstream drain or have left.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "hornbeam/upstream_departure.h"
#include "routing/departure_table.h"

namespace hornbeam {

class departure_store;
class event_log;
class fiber_group;

// An upstream is told that its departure is confirmed only once the record is
// durable, and a process that starts uses no upstream before it has read what
// earlier processes of the node have confirmed. For the I/O thread only; owned
// by the instance server.
class departure_tracker {
 public:
  // Without a store nothing is durable, and nothing has to be read first.
  // `clock`, `log` and `store` outlive the tracker.
  departure_tracker(const clock_source& clock, event_log& log, std::string node,
                    departure_store* store);

  // Reads the store on a fiber of `fibers` until that succeeds; then calls
  // `on_loaded`.
  void Start(fiber_group& fibers, std::function<void()> on_loaded);
  void Stop();

  [[nodiscard]] bool IsLoaded() const { return loaded_; }
  // Returns whether the store has been read by `deadline`.
  bool WaitLoaded(time_point deadline);

  // Adds a departure, which is not durable yet. See upstream_departure.
  void Add(std::string_view instance, std::int64_t started_at_ms,
           bool start_known);
  // Returns the departure of `instance`, if there is any.
  [[nodiscard]] std::optional<upstream_departure> Find(
      std::string_view instance) const;
  // Makes the departure of `instance` durable, if there is any. Returns false
  // if that did not succeed by `deadline`.
  bool Confirm(std::string_view instance, time_point deadline);

 private:
  void LoadLoop();
  void Load(const std::vector<upstream_departure>& recorded);
  [[nodiscard]] bool IsDurable(const upstream_departure& departure) const;

  const clock_source& clock_;
  event_log& log_;
  const std::string node_;
  departure_store* const store_;
  std::function<void()> on_loaded_;
  departure_table departures_;
  departure_table durable_;
  bool loaded_ = false;
  bool stopped_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
