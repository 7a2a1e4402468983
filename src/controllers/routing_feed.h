// Encodes routing updates that a control VM pushes to the nodes watching it.
#pragma once

#include <cstdint>
#include <string>

#include "hornbeam/routing_table.h"
#include "wire/control_messages.h"

namespace hornbeam {

// Keeps the newest version and the change from its predecessor, so that a small
// change of a large table takes few bytes. Owned by the control service; for
// the I/O thread only.
class routing_feed {
 public:
  // Sets a newer table.
  void SetTable(routing_table table);

  // Returns 0 before the first table.
  [[nodiscard]] std::uint64_t Version() const { return table_.version; }
  // Returns the update for a watcher that knows `known_version`: the change
  // when that is the preceding version, otherwise the whole table.
  [[nodiscard]] routing_update UpdateFor(std::uint64_t known_version) const;

 private:
  routing_table table_;
  std::uint64_t base_version_ = 0;
  std::string encoded_table_;
  std::string encoded_change_;
};

}  // namespace hornbeam
