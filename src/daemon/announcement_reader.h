// Parser of the announcements that an upstream sends to its node.
#pragma once

#include <string>
#include <string_view>

#include "controllers/announced_upstream.h"
#include "hornbeam/result.h"

namespace hornbeam {

// Reason why an announcement is rejected, worded for the operator of the
// upstream.
struct announcement_error {
  std::string reason;
};

// Parses JSON such as {"service":"guichet","address":"127.0.0.1:9001",
// "slots":20,"state":"ready"}. The state is "ready" or "draining", and "ready"
// if it is missing.
result<upstream_announcement, announcement_error> ReadAnnouncement(
    std::string_view text);

}  // namespace hornbeam
