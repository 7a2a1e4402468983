#include "routing/departure_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeam {

void departure_table::Record(upstream_departure departure) {
  const auto is_same = [&departure](const upstream_departure& each) {
    return each.node == departure.node && each.instance == departure.instance;
  };
  const auto known = std::ranges::find_if(departures_, is_same);
  if (known != departures_.end()) {
    if (departure.started_at_ms < known->started_at_ms) {
      departure.started_at_ms = known->started_at_ms;
      departure.start_known = departure.start_known && known->start_known;
    }
    departures_.erase(known);
  }
  const auto is_of_node = [&departure](const upstream_departure& each) {
    return each.node == departure.node;
  };
  const auto of_node = std::ranges::count_if(departures_, is_of_node);
  if (static_cast<std::size_t>(of_node) >= kMaxDeparturesPerNode)
    departures_.erase(std::ranges::find_if(departures_, is_of_node));
  departures_.push_back(std::move(departure));
  if (departures_.size() > kMaxDepartures) departures_.pop_front();
}

std::vector<upstream_departure> departure_table::Of(
    std::string_view node) const {
  std::vector<upstream_departure> found;
  std::ranges::copy_if(
      departures_, std::back_inserter(found),
      [node](const upstream_departure& each) { return each.node == node; });
  return found;
}

}  // namespace hornbeam
