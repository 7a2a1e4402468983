// Record of calls that ran and whose answers are no longer kept.
#pragma once

#include <cstddef>
#include <map>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "hornbeam/request_id.h"

namespace hornbeam {

// Knows for each call whose answer was dropped that it has run, until the time
// from which its ingress no longer takes "not run" for a proof. Owned by
// call_server.
class fate_index {
 public:
  // Records that `id` has run, until `keep_until`.
  void Add(const request_id& id, time_point keep_until);
  [[nodiscard]] bool Contains(const request_id& id) const {
    return expiry_.contains(id);
  }
  void Erase(const request_id& id);
  // Removes the records whose time has passed.
  void RemoveExpired(time_point now);
  [[nodiscard]] std::size_t Size() const { return expiry_.size(); }

 private:
  using by_expiry = std::multimap<time_point, request_id>;

  by_expiry order_;
  std::unordered_map<request_id, by_expiry::iterator> expiry_;
};

}  // namespace hornbeam
