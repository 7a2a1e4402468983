// How a node or the command-line tool talks to the replicated stores on the
// control VMs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hornbeam/clock_source.h"
#include "hornbeam/result.h"

namespace hornbeam {

// The replicated stores.
enum class store_id : std::uint8_t { kSettings, kLedger, kRouting };

// Why a store gave no reply.
enum class store_error : std::uint8_t {
  kUnreachable,  // No control VM could be reached; the command was certainly
                 // not accepted.
  kNoQuorum,     // A control VM answered that no quorum is there; certainly not
                 // accepted.
  kTimeout,  // No reply in time; the command may or may not have been accepted.
  kRejected,  // The control VM could not read the request; certainly not
              // accepted.
};

// Sends encoded commands and queries to the leader of a store, following it as
// it moves. Owned by the daemon or the tool. Calls wait for the reply: on a
// fiber, only that fiber waits.
class store_client {
 public:
  store_client() = default;
  store_client(const store_client&) = delete;
  store_client& operator=(const store_client&) = delete;
  virtual ~store_client() = default;

  // Has `command` committed and returns the store's encoded reply. After
  // kTimeout the caller may repeat a command that carries its own id.
  virtual result<std::string, store_error> Propose(store_id store,
                                                   std::string_view command,
                                                   time_point deadline) = 0;

  // Answers `query` from a state that a quorum confirmed as current.
  virtual result<std::string, store_error> Query(store_id store,
                                                 std::string_view query,
                                                 time_point deadline) = 0;
};

}  // namespace hornbeam
