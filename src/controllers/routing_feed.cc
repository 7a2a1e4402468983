#include "controllers/routing_feed.h"

#include <utility>

#include "routing/routing_codec.h"
#include "routing/routing_delta.h"

namespace hornbeam {

void routing_feed::SetTable(routing_table table) {
  routing_table next = WithoutSources(std::move(table));
  base_version_ = table_.version;
  encoded_change_ = EncodeRoutingChange(DiffRoutingTables(table_, next));
  encoded_table_ = EncodeRoutingTable(next);
  table_ = std::move(next);
}

routing_update routing_feed::UpdateFor(std::uint64_t known_version) const {
  if (known_version != 0 && known_version == base_version_) {
    return {.version = table_.version,
            .base_version = base_version_,
            .table = encoded_change_};
  }
  return {.version = table_.version, .table = encoded_table_};
}

}  // namespace hornbeam
