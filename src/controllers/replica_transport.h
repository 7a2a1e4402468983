// Message transport between the replicas of one store.
#pragma once

#include <string>
#include <string_view>

namespace hornbeam {

// Carries messages between the replica hosts of one store. May lose, repeat,
// delay and reorder messages, never alter them.
class replica_transport {
 public:
  replica_transport() = default;
  replica_transport(const replica_transport&) = delete;
  replica_transport& operator=(const replica_transport&) = delete;
  virtual ~replica_transport() = default;

  // Sends `bytes` to the replica host named `peer`, which gets them through
  // OnMessage. Never blocks; drops messages that cannot be sent. Must not call
  // back into the sender.
  virtual void Send(std::string_view peer, std::string bytes) = 0;
};

}  // namespace hornbeam
