// Memory of the requests that an upstream has refused.
//
// Fault: an upstream may write a refusal once more on a kept connection. A
// request that was refused and comes back to the same upstream has the same id,
// so the repetition would pass for the answer to the second dispatch, "not run"
// would be false, and the request would run again elsewhere. A request that was
// refused before must therefore not share a connection with its earlier
// dispatch.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeam/clock_source.h"

namespace hornbeam {

// Owned by the state of one upstream. Not thread-safe.
class refusal_memory {
 public:
  // Remembers the request `id` until `deadline`, after which it is not
  // dispatched any more.
  void Record(std::string_view id, time_point deadline, time_point now);
  [[nodiscard]] bool Contains(std::string_view id) const;
  [[nodiscard]] std::size_t Size() const { return deadlines_.size(); }

 private:
  std::unordered_map<std::string, time_point> deadlines_;
  time_point next_cleanup_;
};

}  // namespace hornbeam
