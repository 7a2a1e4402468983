// Which control VMs there are, and in which availability zones.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/control_messages.h"

namespace hornbeam {

// A pure table; owned by the control service.
class control_places {
 public:
  // Takes the addresses of all control VMs; true when they changed.
  bool SetMembers(std::vector<std::string> addresses);
  // Takes where a control VM is; true when that changes the list.
  bool SetZone(std::string_view address, std::string_view availability_zone);

  [[nodiscard]] const std::vector<std::string>& Members() const {
    return members_;
  }
  [[nodiscard]] control_list List() const;

 private:
  std::vector<std::string> members_;  // Sorted, each once.
  std::map<std::string, std::string, std::less<>> zones_;
};

}  // namespace hornbeam
