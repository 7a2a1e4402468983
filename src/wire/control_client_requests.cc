// Requests of control_client to the stores and their leaders.
#include <algorithm>
#include <utility>

#include "base/microseconds.h"
#include "io/io_loop.h"
#include "wire/control_channel.h"
#include "wire/control_client.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

// Delay between two rounds over all control VMs while no leader is known.
constexpr duration kRoundDelay = std::chrono::milliseconds(25);
// A larger request does not fit into one message.
constexpr std::size_t kMaxRequestBytes = kMaxFrameBytes - 64UL * 1024;
// Time limit for the reply of one control VM, before another one is tried.
constexpr duration kAttemptTimeout = std::chrono::milliseconds(1500);

}  // namespace

// Outcome of sending a request to one control VM.
struct control_client::attempt {
  store_status status = store_status::kTimeout;
  bool sent = false;
  std::string bytes;
  std::string leader_address;
};

result<std::string, store_error> control_client::Propose(
    store_id store, std::string_view command, time_point deadline) {
  return Request(store, store_operation::kPropose, command, deadline);
}

result<std::string, store_error> control_client::Query(store_id store,
                                                       std::string_view query,
                                                       time_point deadline) {
  return Request(store, store_operation::kQuery, query, deadline);
}

result<std::string, store_error> control_client::Request(
    store_id store, store_operation operation, std::string_view bytes,
    time_point deadline) {
  if (bytes.size() > kMaxRequestBytes) return store_error::kRejected;
  if (store == store_id::kRouting)
    return RequestFromRegistrar(operation, bytes, deadline);
  store_request request{
      .store = store, .operation = operation, .bytes = std::string(bytes)};
  store_error last = store_error::kUnreachable;
  std::size_t attempts = 0;
  while (clock_.Now() < deadline) {
    request.correlation = next_correlation_++;
    request.may_forward = SkipSuspects(store);
    const auto target = ChooseTarget(store);
    request.may_forward |= target == RegistrarChannel();
    attempt reply = TryOnce(target, request, deadline);
    if (reply.status == store_status::kDone) return std::move(reply.bytes);
    if (reply.status == store_status::kRejected) return store_error::kRejected;
    // Queries can be repeated; proposals only if certainly not accepted.
    const bool may_be_accepted =
        reply.sent && reply.status == store_status::kTimeout;
    if (may_be_accepted && operation == store_operation::kPropose) {
      AdvanceLeader(store);
      return store_error::kTimeout;
    }
    if (reply.sent) last = store_error::kNoQuorum;
    if (reply.leader_address.empty()) {
      AdvanceLeader(store);
    } else {
      FollowLeader(store, reply.leader_address);
    }
    if (++attempts % channels_.size() == 0) io_loop::SleepFor(kRoundDelay);
  }
  return last;
}

result<std::string, store_error> control_client::RequestFromRegistrar(
    store_operation operation, std::string_view bytes, time_point deadline) {
  store_request request{.store = store_id::kRouting,
                        .operation = operation,
                        .may_forward = true,
                        .bytes = std::string(bytes)};
  store_error last = store_error::kUnreachable;
  while (!stopped_ && clock_.Now() < deadline) {
    const auto registrar = RegistrarChannel();
    if (registrar && registrar->Link().IsUp()) {
      request.correlation = next_correlation_++;
      attempt reply = TryOnce(registrar, request, deadline);
      if (reply.status == store_status::kDone) return std::move(reply.bytes);
      if (reply.status == store_status::kRejected)
        return store_error::kRejected;
      const bool may_be_accepted =
          reply.sent && reply.status == store_status::kTimeout;
      if (may_be_accepted && operation == store_operation::kPropose)
        return store_error::kTimeout;
      if (reply.sent) last = store_error::kNoQuorum;
    }
    io_loop::SleepFor(kRoundDelay);
  }
  return last;
}

control_client::attempt control_client::TryOnce(
    const std::shared_ptr<channel>& target, const store_request& request,
    time_point deadline) {
  store_request sent = request;
  const time_point now = clock_.Now();
  const time_point limit = std::min(deadline, now + kAttemptTimeout);
  sent.deadline_us = ToMicroseconds(limit - now);
  auto reply = target->Exchange(request.correlation, sent, limit);
  target->RecordReply(reply.has_value(), clock_.Now());
  if (!reply) {
    return attempt{.status = store_status::kTimeout,
                   .sent = reply.error() != store_error::kUnreachable};
  }
  auto& content = std::get<store_reply>(reply.value());
  return attempt{.status = content.status,
                 .sent = true,
                 .bytes = std::move(content.bytes),
                 .leader_address = std::move(content.leader_address)};
}

result<status_reply, store_error> control_client::Status(std::size_t index,
                                                         time_point deadline) {
  const status_request request{.correlation = next_correlation_++};
  const auto asked = channels_.at(index);
  asked->ServeRequests();
  auto reply = asked->Exchange(request.correlation, request, deadline);
  if (!reply) return reply.error();
  return std::get<status_reply>(std::move(reply).value());
}

// Returns the assumed leader's channel, or while that is not connected the
// registrar's, which forwards: a leader that is gone takes long to notice.
std::shared_ptr<control_client::channel> control_client::ChooseTarget(
    store_id store) {
  auto leader = channels_[LeaderOf(store)];
  leader->ServeRequests();
  if (leader->Link().IsUp()) return leader;
  auto registrar = RegistrarChannel();
  const bool may_forward = registrar && registrar->Link().IsUp() &&
                           !registrar->IsSuspect(clock_.Now());
  if (!may_forward) return leader;
  leader->EnsureStarted(leader->Fibers());
  return registrar;
}

void control_client::FollowLeader(store_id store, const std::string& address) {
  const auto found =
      std::ranges::find(channels_, address, [](const auto& candidate) {
        return candidate->Link().Peer().ToString();
      });
  if (found == channels_.end()) {
    AdvanceLeader(store);
    return;
  }
  LeaderOf(store) = static_cast<std::size_t>(found - channels_.begin());
}

// Moves from a control VM that did not reply recently to one that may forward
// the request. Returns true if any is avoided, as it may be the leader.
bool control_client::SkipSuspects(store_id store) {
  const time_point now = clock_.Now();
  const auto is_suspect = [now](const auto& each) {
    return each->IsSuspect(now);
  };
  if (std::ranges::none_of(channels_, is_suspect)) return false;
  if (std::ranges::all_of(channels_, is_suspect)) return true;
  while (channels_[LeaderOf(store)]->IsSuspect(now)) AdvanceLeader(store);
  return true;
}

void control_client::AdvanceLeader(store_id store) {
  std::size_t& leader = LeaderOf(store);
  leader = (leader + 1) % channels_.size();
}

std::size_t& control_client::LeaderOf(store_id store) {
  return store == store_id::kSettings ? settings_leader_ : ledger_leader_;
}

}  // namespace hornbeam
