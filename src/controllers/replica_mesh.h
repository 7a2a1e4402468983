// Connections from one control VM to all others.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/replica_transport.h"
#include "wire/call_link.h"
#include "wire/endpoint.h"
#include "wire/message_link.h"
#include "wire/messages.h"

namespace hornbeam {

class fiber_group;
class io_loop;

// Holds one link to each other control VM, shared by all stores. Replicas are
// named by the addresses of their control VMs. For the I/O thread only; owned
// by the control daemon.
class replica_mesh {
 public:
  replica_mesh(io_loop& loop, const clock_source& clock,
               const process_identity& self, const endpoint& own_address,
               std::span<const endpoint> control_addresses);
  ~replica_mesh();
  replica_mesh(const replica_mesh&) = delete;
  replica_mesh& operator=(const replica_mesh&) = delete;

  void Start(fiber_group& fibers);
  void Stop();

  // Sets the current control VMs: opens a link to each that has none yet and
  // ends those that are not connected to all others but the configured ones.
  void SetPeers(std::span<const std::string> peers);

  // Sends to every other control VM that is connected.
  void Broadcast(const message& content);

  // Sends to the control VM at `peer`, after opening a link to it if it has
  // none. Returns false when it is not connected.
  bool Send(std::string_view peer, const message& content);

  // Sets the handler for replies to store requests that were sent over this
  // mesh; null drops the replies.
  void OnStoreReply(std::function<void(store_reply)> handler);

  // Returns the transport of one store. The mesh must outlive it.
  std::unique_ptr<replica_transport> MakeTransport(store_id store);

  [[nodiscard]] std::size_t ConnectedPeers() const;
  // Returns the number of control VMs to which links are kept open.
  [[nodiscard]] std::size_t KnownPeers() const { return links_.size(); }
  // Returns the bytes sent and received over the links so far.
  [[nodiscard]] std::uint64_t TotalBytes() const;

 private:
  class mesh_transport;
  class reply_observer;

  message_link* FindLink(std::string_view peer);
  message_link* AddLink(std::string_view peer);

  io_loop& loop_;
  const clock_source& clock_;
  const process_identity sender_;  // Named by its address, as all replicas.
  fiber_group* fibers_ = nullptr;
  std::unique_ptr<reply_observer> observer_;
  std::vector<std::string> configured_;
  std::vector<std::unique_ptr<message_link>> links_;
  // Stopped links that fibers still use.
  std::vector<std::unique_ptr<message_link>> retired_;
  std::uint64_t retired_bytes_ = 0;
};

}  // namespace hornbeam
