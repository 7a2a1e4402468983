// Access of a control VM to one store, whichever control VM leads.
#pragma once

#include <string>
#include <string_view>

#include "base/store_client.h"
#include "controllers/replica_host.h"
#include "hornbeam/clock_source.h"
#include "wire/control_messages.h"

namespace hornbeam {

class store_forwarder;

struct leader_client_options {
  store_id store = store_id::kRouting;
  // A replica that has not been current for this long is cut off: a request is
  // rejected at once instead of waiting for an election.
  duration cut_off_after = std::chrono::milliseconds(2100);
};

// Runs commands and queries here if this replica leads, else at the leader. A
// request waits while a leader is being elected. For the I/O thread only; owned
// by the daemon.
class leader_client {
 public:
  // All references must outlive the client.
  leader_client(const clock_source& clock, replica_host& replica,
                store_forwarder& forwarder,
                const leader_client_options& options);

  // Block the fiber until there is a reply or `deadline` passes. A command is
  // proposed again when its leader is lost, so it must carry an id by which the
  // store recognises it. After kTimeout it may or may not be accepted.
  result<std::string, replica_error> Propose(std::string_view command,
                                             time_point deadline);
  result<std::string, replica_error> Query(std::string_view query,
                                           time_point deadline);

 private:
  result<std::string, replica_error> Request(store_operation operation,
                                             std::string_view bytes,
                                             time_point deadline);
  result<std::string, replica_error> RequestHere(store_operation operation,
                                                 std::string_view bytes,
                                                 time_point deadline);
  result<std::string, replica_error> RequestAt(const std::string& leader,
                                               store_operation operation,
                                               std::string_view bytes,
                                               time_point deadline);
  [[nodiscard]] bool IsCutOff() const;

  const clock_source& clock_;
  replica_host& replica_;
  store_forwarder& forwarder_;
  const leader_client_options options_;
};

}  // namespace hornbeam
