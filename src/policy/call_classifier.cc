#include "policy/call_classifier.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace hornbeam {

namespace {

constexpr std::size_t kMaxSegmentBytes = 32;
constexpr std::size_t kMaxMethodBytes = 16;
constexpr std::uint32_t kHistoryCalls = 64;

bool IsDigit(char letter) { return letter >= '0' && letter <= '9'; }

// Returns whether a path segment identifies an object and so is replaced by a
// wildcard in the route.
bool IsVariable(std::string_view segment) {
  return segment.size() > kMaxSegmentBytes ||
         std::ranges::any_of(segment, IsDigit);
}

}  // namespace

call_classifier::call_classifier(call_classifier_options options)
    : options_(options) {}

call_class call_classifier::Classify(std::string_view method,
                                     std::string_view target) const {
  const auto found = routes_.find(Route(method, target));
  return found == routes_.end() ? call_class::kShort : found->second->kind;
}

void call_classifier::Record(std::string_view method, std::string_view target,
                             duration service_time) {
  route_record& record = FindOrAddRecord(Route(method, target));
  const std::uint64_t is_long =
      service_time >= options_.long_call_threshold ? 1 : 0;
  record.history = (record.history << 1U) | is_long;
  record.samples = std::min(record.samples + 1, kHistoryCalls);
  const double share =
      static_cast<double>(std::popcount(record.history)) / record.samples;
  if (share > options_.long_above_share) record.kind = call_class::kLong;
  if (share < options_.short_below_share) record.kind = call_class::kShort;
}

std::string call_classifier::Route(std::string_view method,
                                   std::string_view target) const {
  std::string route(method.substr(0, kMaxMethodBytes));
  route += ' ';
  std::string_view rest = target.substr(0, target.find_first_of("?#"));
  for (std::size_t count = 0; count < options_.route_segments; ++count) {
    if (rest.starts_with('/')) rest.remove_prefix(1);
    if (rest.empty()) break;
    const std::string_view segment = rest.substr(0, rest.find('/'));
    rest.remove_prefix(segment.size());
    route += '/';
    route += IsVariable(segment) ? std::string_view("*") : segment;
  }
  return route;
}

call_classifier::route_record& call_classifier::FindOrAddRecord(
    std::string route) {
  const auto found = routes_.find(route);
  if (found != routes_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return recent_.front();
  }
  if (recent_.size() >= std::max<std::size_t>(options_.max_routes, 1)) {
    routes_.erase(recent_.back().route);
    recent_.pop_back();
  }
  recent_.push_front(route_record{.route = std::move(route)});
  routes_.emplace(recent_.front().route, recent_.begin());
  return recent_.front();
}

}  // namespace hornbeam
