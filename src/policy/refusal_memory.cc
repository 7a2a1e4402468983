#include "policy/refusal_memory.h"

namespace hornbeam {

namespace {

// Interval at which ids past their deadline are removed.
constexpr duration kCleanupInterval = std::chrono::seconds(1);

}  // namespace

void refusal_memory::Record(std::string_view id, time_point deadline,
                            time_point now) {
  if (now >= next_cleanup_) {
    std::erase_if(deadlines_,
                  [now](const auto& entry) { return entry.second < now; });
    next_cleanup_ = now + kCleanupInterval;
  }
  deadlines_.insert_or_assign(std::string(id), deadline);
}

bool refusal_memory::Contains(std::string_view id) const {
  return deadlines_.contains(std::string(id));
}

}  // namespace hornbeam
