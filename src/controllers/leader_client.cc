#include "controllers/leader_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/microseconds.h"
#include "controllers/replica_status.h"
#include "controllers/store_forwarder.h"
#include "controllers/store_mapping.h"
#include "io/fiber_signal.h"
#include "io/io_loop.h"
#include "replication/replica_options.h"

namespace hornbeam {

namespace {

// Interval at which a waiting request looks for a change of leader.
constexpr duration kLeaderCheckInterval = std::chrono::milliseconds(20);

// Whether another try, perhaps at another leader, may succeed.
bool IsRetryable(replica_error error) {
  switch (error) {
    case replica_error::kNotLeader:
    case replica_error::kNoQuorum:
    case replica_error::kReplaced:
    case replica_error::kTimeout:
      return true;
    case replica_error::kOverloaded:
    case replica_error::kTooLarge:
    case replica_error::kStorageFailed:
    case replica_error::kStopped:
      return false;
  }
  return false;
}

}  // namespace

leader_client::leader_client(const clock_source& clock, replica_host& replica,
                             store_forwarder& forwarder,
                             const leader_client_options& options)
    : clock_(clock),
      replica_(replica),
      forwarder_(forwarder),
      options_(options) {}

result<std::string, replica_error> leader_client::Propose(
    std::string_view command, time_point deadline) {
  return Request(store_operation::kPropose, command, deadline);
}

result<std::string, replica_error> leader_client::Query(std::string_view query,
                                                        time_point deadline) {
  return Request(store_operation::kQuery, query, deadline);
}

result<std::string, replica_error> leader_client::Request(
    store_operation operation, std::string_view bytes, time_point deadline) {
  // Forwarding it would take a message above the limit.
  if (bytes.size() > kMaxCommandBytes) return replica_error::kTooLarge;
  bool may_be_accepted = false;
  while (clock_.Now() < deadline) {
    const replica_status status = replica_.Status();
    if (status.leader.empty() && IsCutOff()) break;
    replica_error error = replica_error::kNoQuorum;
    if (!status.leader.empty()) {
      auto reply = status.role == replica_role::kLeader
                       ? RequestHere(operation, bytes, deadline)
                       : RequestAt(status.leader, operation, bytes, deadline);
      if (reply || !IsRetryable(reply.error())) return reply;
      error = reply.error();
    }
    may_be_accepted |= error == replica_error::kTimeout;
    io_loop::SleepFor(kLeaderCheckInterval);
  }
  return may_be_accepted ? replica_error::kTimeout : replica_error::kNoQuorum;
}

result<std::string, replica_error> leader_client::RequestHere(
    store_operation operation, std::string_view bytes, time_point deadline) {
  const auto signal = std::make_shared<fiber_signal<replica_reply>>();
  auto done = [signal](replica_reply reply) { signal->Set(std::move(reply)); };
  if (operation == store_operation::kPropose) {
    replica_.Propose(std::string(bytes), deadline, std::move(done));
  } else {
    replica_.Query(std::string(bytes), deadline, std::move(done));
  }
  replica_reply* const reply = signal->WaitUntil(deadline);
  if (reply == nullptr) return replica_error::kTimeout;
  return std::move(*reply);
}

// Gives up with kTimeout as soon as this replica knows another leader.
result<std::string, replica_error> leader_client::RequestAt(
    const std::string& leader, store_operation operation,
    std::string_view bytes, time_point deadline) {
  const auto signal = std::make_shared<fiber_signal<store_reply>>();
  const bool sent = forwarder_.Forward(
      leader,
      store_request{.store = options_.store,
                    .operation = operation,
                    .deadline_us = ToMicroseconds(deadline - clock_.Now()),
                    .bytes = std::string(bytes)},
      [signal](store_reply reply) { signal->Set(std::move(reply)); });
  if (!sent) return replica_error::kNoQuorum;
  while (clock_.Now() < deadline) {
    const time_point check =
        std::min(deadline, clock_.Now() + kLeaderCheckInterval);
    if (store_reply* const reply = signal->WaitUntil(check)) {
      if (reply->status == store_status::kDone) return std::move(reply->bytes);
      return ToReplicaError(reply->status);
    }
    const std::string known = replica_.Status().leader;
    if (!known.empty() && known != leader) break;
  }
  return replica_error::kTimeout;
}

bool leader_client::IsCutOff() const {
  const time_point current_as_of = replica_.Status().current_as_of;
  return current_as_of < clock_.Now() - options_.cut_off_after;
}

}  // namespace hornbeam
