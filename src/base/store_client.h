// Client interface of the replicated stores on the control VMs, for nodes and
// the command-line tool.
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
  kUnreachable,  // No control VM could be reached; the command was not
                 // accepted.
  kNoQuorum,     // A control VM replied that there is no quorum; the command
                 // was not accepted.
  kTimeout,      // No reply in time; the command may have been accepted.
  kRejected,     // The request is too large, or the control VM could not decode
                 // it; the command was not accepted.
};

// Sends encoded commands and queries to the leader of a store and follows
// leader changes. Owned by the daemon or the tool. Calls block until the reply
// arrives; on a fiber, only that fiber is blocked.
class store_client {
 public:
  store_client() = default;
  store_client(const store_client&) = delete;
  store_client& operator=(const store_client&) = delete;
  virtual ~store_client() = default;

  // Proposes `command`, waits until it is committed and returns the store's
  // encoded reply. After kTimeout the caller may resend a command that carries
  // its own id.
  virtual result<std::string, store_error> Propose(store_id store,
                                                   std::string_view command,
                                                   time_point deadline) = 0;

  // Returns the reply to `query` from a state that a quorum confirmed as
  // current.
  virtual result<std::string, store_error> Query(store_id store,
                                                 std::string_view query,
                                                 time_point deadline) = 0;
};

}  // namespace hornbeam
