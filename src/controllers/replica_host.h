// Host of one replica of one store: consensus core, log storage and state
// machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/replica_status.h"
#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"
#include "replication/log_storage.h"
#include "replication/replica_options.h"

namespace hornbeam {

class event_log;
class random_source;
class replica_transport;
class state_machine;

// The reason why a proposal or query failed.
enum class replica_error : std::uint8_t {
  kNotLeader,   // Another replica is the leader, see Status().leader;
                // certainly not accepted.
  kNoQuorum,    // No leader is known, or this replica led but no quorum
                // confirmed a query; certainly not accepted.
  kOverloaded,  // Too many requests are waiting; certainly not accepted.
  kTooLarge,    // The command exceeds the size limit; certainly not accepted.
  kReplaced,    // Another leader's entry was committed at the same index;
                // certainly not accepted.
  kTimeout,     // The deadline passed; may or may not be accepted.
  kStorageFailed,  // The disk failed; may or may not be accepted.
  kStopped,        // The host is being destroyed; may or may not be accepted.
};

using replica_reply = result<std::string, replica_error>;
using replica_callback = std::function<void(replica_reply)>;

// Schedules a task on the I/O thread. Must be callable from any thread and must
// never run the task before it returns.
using task_poster = std::function<void(std::function<void()>)>;

// Dependencies of a replica host. The references must outlive it.
struct replica_host_dependencies {
  std::unique_ptr<state_machine> machine;
  std::unique_ptr<log_storage> storage;
  replica_transport& transport;
  const clock_source& clock;
  random_source& random;  // Used on the I/O thread only.
  event_log& events;
  task_poster post;
};

// One replica of one store. All calls and callbacks run on the I/O thread; only
// disk writes run on a separate thread. A callback may run inside the call that
// it is passed to, and may propose and query, but must not destroy the host.
class replica_host {
 public:
  // Loads the replica's state from disk, which can take long. Fails when the
  // storage cannot be used.
  static result<std::unique_ptr<replica_host>, storage_error> MakeReplicaHost(
      replica_options options, replica_host_dependencies dependencies);
  // Completes waiting proposals and queries with kStopped and joins the storage
  // thread.
  virtual ~replica_host();
  replica_host(const replica_host&) = delete;
  replica_host& operator=(const replica_host&) = delete;

  // Commits and applies `command`; `done` gets the state machine's reply, at
  // which point the command is on the disks of a quorum.
  virtual void Propose(std::string command, time_point deadline,
                       replica_callback done) = 0;

  // Answers from a state that a quorum confirmed as current after this call
  // began. Only the leader can answer.
  virtual void Query(std::string query, time_point deadline,
                     replica_callback done) = 0;

  // Answers from this replica's own state, which may be arbitrarily stale. For
  // status and tests.
  [[nodiscard]] virtual std::string QueryStale(
      std::string_view query) const = 0;

  // Handles the bytes that the replica host named `from` sent. Bytes that
  // cannot be decoded as a message are dropped.
  virtual void OnMessage(std::string_view from, std::string_view bytes) = 0;

  // Drives the timers; must be called about every kReplicaTickInterval.
  virtual void Tick(time_point now) = 0;

  // Begins to hand over this replica's vote and leadership, since the process
  // will stop. Status().ready_to_stop tells when that is done.
  virtual void BeginLeave() = 0;

  [[nodiscard]] virtual replica_status Status() const = 0;

 protected:
  replica_host() = default;
};

}  // namespace hornbeam
