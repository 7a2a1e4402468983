// Classifies calls as short or long by the service times of their route.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "hornbeam/outcome.h"

namespace hornbeam {

struct call_classifier_options {
  // Service time from which a call counts as long.
  duration long_call_threshold = std::chrono::milliseconds(100);
  // A route becomes long when the share of long calls among its recent calls
  // rises above the first value, and short again when it falls below the second
  // (hysteresis).
  double long_above_share = 0.5;
  double short_below_share = 0.25;
  // Number of leading path segments that identify a route. A segment that
  // contains a digit or is longer than 32 bytes counts as a wildcard.
  std::size_t route_segments = 3;
  std::size_t max_routes = 1024;
};

// Records for a bounded number of routes which of their last 64 calls were
// long. It compares shares of calls instead of mean times, so that one slow
// upstream of several does not turn a short route into a long one. Unknown
// routes are short. Not thread-safe.
class call_classifier {
 public:
  explicit call_classifier(call_classifier_options options);
  call_classifier(const call_classifier&) = delete;
  call_classifier& operator=(const call_classifier&) = delete;

  // Returns the class of the route. `target` is the request target as the
  // caller sent it.
  [[nodiscard]] call_class Classify(std::string_view method,
                                    std::string_view target) const;
  // Records the service time of a call of the route at the upstream.
  void Record(std::string_view method, std::string_view target,
              duration service_time);

  // Returns the method and the path pattern of the route, such as
  // "GET /wells/*/history".
  [[nodiscard]] std::string Route(std::string_view method,
                                  std::string_view target) const;

 private:
  struct route_record {
    std::string route;
    // One bit per call, 1 for a long call; the lowest bit is the newest call.
    std::uint64_t history = 0;
    std::uint32_t samples = 0;  // Number of valid bits in `history`.
    call_class kind = call_class::kShort;
  };

  // Returns the record of `route` and makes it the most recently used one. A
  // new route evicts the least recently used one when the table is full.
  route_record& FindOrAddRecord(std::string route);

  call_classifier_options options_;
  // In order of use: most recently recorded route first.
  std::list<route_record> recent_;
  std::unordered_map<std::string_view, std::list<route_record>::iterator>
      routes_;
};

}  // namespace hornbeam
