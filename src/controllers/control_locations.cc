#include "controllers/control_locations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeam {

bool control_locations::SetMembers(std::vector<std::string> addresses) {
  std::ranges::sort(addresses);
  const auto repeated = std::ranges::unique(addresses);
  addresses.erase(repeated.begin(), repeated.end());
  if (addresses.empty() || addresses == members_) return false;
  members_ = std::move(addresses);
  return true;
}

bool control_locations::SetZone(std::string_view address,
                                std::string_view availability_zone) {
  const auto [entry, is_new] =
      zones_.try_emplace(std::string(address), availability_zone);
  const bool changed = is_new || entry->second != availability_zone;
  entry->second = availability_zone;
  return changed && std::ranges::binary_search(members_, address);
}

control_list control_locations::List() const {
  control_list list;
  std::ranges::transform(members_, std::back_inserter(list.locations),
                         [this](const auto& address) {
                           const auto zone = zones_.find(address);
                           return control_location{
                               .address = address,
                               .availability_zone = zone == zones_.end()
                                                        ? std::string()
                                                        : zone->second};
                         });
  return list;
}

}  // namespace hornbeam
