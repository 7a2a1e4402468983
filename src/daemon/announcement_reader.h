// Reads what an upstream tells its node.
#pragma once

#include <string>
#include <string_view>

#include "controllers/announced_upstream.h"
#include "hornbeam/result.h"

namespace hornbeam {

// Why an announcement cannot be taken, in words for the upstream's operator.
struct announcement_error {
  std::string reason;
};

// Reads JSON such as {"service":"guichet","address":"127.0.0.1:9001",
// "slots":20,"state":"ready"}; state is ready or draining.
result<upstream_announcement, announcement_error> ReadAnnouncement(
    std::string_view text);

}  // namespace hornbeam
