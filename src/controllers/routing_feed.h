// The routing table as one control VM tells it to the nodes that watch it.
#pragma once

#include <cstdint>
#include <string>

#include "hornbeam/routing_table.h"
#include "wire/control_messages.h"

namespace hornbeam {

// Keeps the newest version and what changed since the one before it, so that a
// small change of a large table takes few bytes. Owned by the control service.
class routing_feed {
 public:
  // Takes a newer table.
  void Take(routing_table table);

  // 0 before the first table.
  [[nodiscard]] std::uint64_t Version() const { return table_.version; }
  // For a watcher that knows `known_version`: what changed when that is the
  // version before this one, else the whole table.
  [[nodiscard]] routing_update UpdateFor(std::uint64_t known_version) const;

 private:
  routing_table table_;
  std::uint64_t base_version_ = 0;
  std::string encoded_;  // Of table_.
  std::string encoded_change_;
};

}  // namespace hornbeam
