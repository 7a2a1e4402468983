// Forwarding of store requests to the control VM that leads.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "wire/messages.h"

namespace hornbeam {

class replica_mesh;

// Sends requests over the links between control VMs, for requesters that cannot
// reach the leader or do not know it. For the I/O thread only; owned by the
// daemon.
class store_forwarder {
 public:
  using reply_handler = std::function<void(store_reply)>;

  store_forwarder(const clock_source& clock, replica_mesh& mesh);
  ~store_forwarder();
  store_forwarder(const store_forwarder&) = delete;
  store_forwarder& operator=(const store_forwarder&) = delete;

  // Sends `request` to the control VM at `leader`. `on_reply` gets its reply,
  // with the correlation of `request`, unless the deadline passes first.
  // Returns false, and sends nothing, when that VM is not connected.
  bool Forward(const std::string& leader, store_request request,
               reply_handler on_reply);

  // Drops the requests whose deadline has passed.
  void Expire();

 private:
  struct forwarded_request {
    reply_handler on_reply;
    std::uint64_t correlation = 0;  // The id that the requester assigned.
    time_point deadline;
  };

  void HandleReply(store_reply reply);

  const clock_source& clock_;
  replica_mesh& mesh_;
  std::uint64_t next_correlation_ = 1;
  std::unordered_map<std::uint64_t, forwarded_request> forwarded_;
};

}  // namespace hornbeam
