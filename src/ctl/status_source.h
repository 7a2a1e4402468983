// Interface through which hornbeamctl reads the status of the system.
#pragma once

#include "base/store_client.h"
#include "hornbeam/result.h"
#include "wire/messages.h"

namespace hornbeam {

// Queries a control VM for its view of stores and nodes. Owned by the session.
class status_source {
 public:
  status_source() = default;
  status_source(const status_source&) = delete;
  status_source& operator=(const status_source&) = delete;
  virtual ~status_source() = default;

  // Returns the view of the first control VM that replies before `deadline`.
  virtual result<status_reply, store_error> Status(time_point deadline) = 0;
};

}  // namespace hornbeam
