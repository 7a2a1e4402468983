// Forwarding of store requests to a leader that the requester cannot reach.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "wire/frame_connection.h"
#include "wire/messages.h"

namespace hornbeam {

class replica_mesh;

// A leader that is partitioned from some nodes keeps its leadership as long as
// it reaches the other control VMs. Those forward the nodes' requests over
// their own links. For the I/O thread only; owned by the control service.
class store_forwarder {
 public:
  store_forwarder(const clock_source& clock, replica_mesh& mesh);
  ~store_forwarder();
  store_forwarder(const store_forwarder&) = delete;
  store_forwarder& operator=(const store_forwarder&) = delete;

  // Sends `request` to the control VM at `leader`; its reply goes to `origin`.
  // Returns false, and sends nothing, when that VM is not connected.
  bool Forward(const std::string& leader, frame_connection& origin,
               store_request request);

  // Drops the requests whose deadline has passed.
  void Expire();

 private:
  struct forwarded_request {
    std::weak_ptr<frame_connection> origin;
    std::uint64_t correlation = 0;  // The id that the origin assigned.
    time_point deadline;
  };

  void HandleReply(store_reply reply);

  const clock_source& clock_;
  replica_mesh& mesh_;
  std::uint64_t next_correlation_ = 1;
  std::unordered_map<std::uint64_t, forwarded_request> forwarded_;
};

}  // namespace hornbeam
