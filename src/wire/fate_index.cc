#include "wire/fate_index.h"

namespace hornbeam {

void fate_index::Add(const request_id& id, time_point keep_until) {
  Erase(id);
  expiry_[id] = order_.emplace(keep_until, id);
}

void fate_index::Erase(const request_id& id) {
  const auto found = expiry_.find(id);
  if (found == expiry_.end()) return;
  order_.erase(found->second);
  expiry_.erase(found);
}

void fate_index::RemoveExpired(time_point now) {
  while (!order_.empty() && order_.begin()->first <= now) {
    expiry_.erase(order_.begin()->second);
    order_.erase(order_.begin());
  }
}

}  // namespace hornbeam
