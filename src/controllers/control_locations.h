// Addresses and availability zones of all control VMs.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/control_messages.h"

namespace hornbeam {

// Performs no I/O. Owned by the control service, for the I/O thread only.
class control_locations {
 public:
  // Sets the addresses of all control VMs. Returns true when they changed. An
  // empty list means that the members are unknown and is ignored.
  bool SetMembers(std::vector<std::string> addresses);
  // Sets the zone of a control VM. Returns true when that changes List().
  bool SetZone(std::string_view address, std::string_view availability_zone);

  [[nodiscard]] const std::vector<std::string>& Members() const {
    return members_;
  }
  [[nodiscard]] control_list List() const;

 private:
  std::vector<std::string> members_;  // Sorted and unique.
  std::map<std::string, std::string, std::less<>> zones_;
};

}  // namespace hornbeam
