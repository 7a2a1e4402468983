#include "wire/call_link.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <ranges>
#include <utility>
#include <vector>

#include "base/answer_rules.h"
#include "base/event_log.h"
#include "io/cancel_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "io/tcp_sockets.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

constexpr duration kReconnectDelay = std::chrono::milliseconds(20);
// The connection is checked and pinged several times per silence timeout.
constexpr int kChecksPerTimeout = 4;
// A status query times out after the silence timeout divided by this.
constexpr int kStatusTimeoutDivisor = 2;
constexpr std::size_t kMaxOpenProbes = 8;

}  // namespace

// One call that has not completed. Lives on the stack of the waiting fiber.
struct call_link::pending_call {
  request_id id;
  std::uint64_t incarnation = 0;  // Of the addressed serving node.
  time_point deadline;
  // Set for a fence, which is sent again instead of a status query.
  const attempt_fence* fence = nullptr;
  // Number of the connection on which the call was sent.
  std::uint64_t sent_on_connection = 0;
  bool end_received = false;
  bool done = false;
  bool cancel_requested = false;
  // Whether the call is cancelled at the serving node when its deadline passes.
  // A claimed operation continues, so that its answer is available when the
  // caller sends it again.
  bool cancel_at_deadline = true;
  // Whether another node may run the call if its status remains unknown. If
  // not, nothing is lost by waiting, since the serving node may still answer.
  bool may_run_elsewhere = true;
  // Time at which the connection was lost or the status was queried; empty once
  // the serving node has replied.
  std::optional<time_point> status_queried_at;
  call_result dispatch_result;
  boost::fibers::condition_variable changed;
};

// Forwards events to the link, which ignores those of replaced connections.
class call_link::reader final : public frame_handler {
 public:
  explicit reader(call_link& link) : link_(link) {}

  void OnMessage(frame_connection& connection, message content) override {
    link_.HandleMessage(connection, std::move(content));
  }
  void OnClosed(frame_connection& connection) override {
    link_.HandleClosed(connection);
  }

 private:
  call_link& link_;
};

call_link::call_link(io_loop& loop, const clock_source& clock, event_log& log,
                     const process_identity& self, const endpoint& peer,
                     connection_purpose purpose,
                     const call_link_options& options)
    : loop_(loop),
      clock_(clock),
      log_(log),
      self_(self),
      peer_(peer),
      purpose_(purpose),
      options_(options) {}

call_link::~call_link() = default;

void call_link::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  fibers.Start([this] { MonitorSilence(); });
}

void call_link::Stop() {
  stopped_ = true;
  if (connection_) connection_->Close();
  for (pending_call* call : pending_ | std::views::values) {
    Finish(*call, outcome::kUnknown, end_reason::kNone);
  }
  changed_.notify_all();
}

call_result call_link::Call(const call_start& start, std::string_view body,
                            time_point deadline, cancel_source& cancel) {
  pending_call call{
      .id = start.id,
      .incarnation = start.incarnation,
      .deadline = deadline,
      .cancel_at_deadline = !start.attempt.has_value(),
      .may_run_elsewhere = !start.attempt.has_value() &&
                           (start.route.empty() || start.idempotent)};
  const auto connection = Connect(deadline);
  if (!connection) {
    Finish(call, outcome::kNotRun, end_reason::kNoUpstream);
    return std::move(call.dispatch_result);
  }
  Register(call);
  const cancel_registration registration(cancel, [&call] {
    call.cancel_requested = true;
    call.changed.notify_all();
  });
  // If sending fails, Recover queries the status of the call.
  SendCall(*connection, start, body);
  return Wait(call, deadline);
}

void call_link::Probe(const request_id& id,
                      std::function<void(const load_report&)> on_reply) {
  const bool is_up = connection_ && !connection_->IsClosed();
  if (!is_up || !connection_->TrySend(load_probe{id})) return;
  probes_.push_back({id, std::move(on_reply)});
  if (probes_.size() > kMaxOpenProbes) probes_.pop_front();
}

void call_link::HandleProbeReply(const load_probe_reply& reply) {
  const auto found = std::ranges::find(probes_, reply.id, &open_probe::id);
  if (found == probes_.end()) return;
  const auto on_reply = std::move(found->on_reply);
  probes_.erase(found);
  on_reply(reply.load);
}

call_result call_link::Fence(const attempt_fence& fence, time_point deadline) {
  pending_call call{.id = fence.id,
                    .incarnation = fence.incarnation,
                    .deadline = deadline,
                    .fence = &fence,
                    .cancel_at_deadline = false,
                    .may_run_elsewhere = false};
  const auto connection = Connect(deadline);
  if (!connection) {
    Finish(call, outcome::kUnknown, end_reason::kNoUpstream);
    return std::move(call.dispatch_result);
  }
  Register(call);
  connection->Send(fence);
  return Wait(call, deadline);
}

void call_link::Register(pending_call& call) {
  if (pending_.empty()) pending_since_ = clock_.Now();
  pending_.emplace(call.id, &call);
  call.sent_on_connection = connection_number_;
  call.dispatch_result.sent = true;
  changed_.notify_all();
}

call_result call_link::Wait(pending_call& call, time_point deadline) {
  std::unique_lock lock(mutex_);
  const auto ready = [&call] { return call.done || call.cancel_requested; };
  call.changed.wait_until(lock, deadline, ready);
  if (!call.done) {
    const bool wants_cancel = call.cancel_requested || call.cancel_at_deadline;
    if (connection_ && wants_cancel) connection_->TrySend(call_cancel{call.id});
    const time_point last = clock_.Now() + options_.status_grace;
    call.changed.wait_until(lock, last, [&call] { return call.done; });
  }
  if (!call.done) {
    Finish(call, outcome::kUnknown, end_reason::kDeadlinePassed);
  }
  pending_.erase(call.id);
  return std::move(call.dispatch_result);
}

bool call_link::SendCall(frame_connection& connection, const call_start& start,
                         std::string_view body) {
  if (!connection.Send(start)) return false;
  for (std::size_t offset = 0; offset < body.size();
       offset += kBodyChunkBytes) {
    const std::string_view part = body.substr(offset, kBodyChunkBytes);
    if (!connection.Send(body_chunk{start.id, offset, std::string(part)})) {
      return false;
    }
  }
  return true;
}

// Returns the current connection or opens one. Returns null if that fails or
// `deadline` passes. Only one fiber connects at a time.
std::shared_ptr<frame_connection> call_link::Connect(time_point deadline) {
  const bool joins_attempt = connecting_;
  {
    std::unique_lock lock(mutex_);
    const auto attempt_done = [this] { return !connecting_ || stopped_; };
    if (!changed_.wait_until(lock, deadline, attempt_done)) return nullptr;
  }
  if (stopped_) return nullptr;
  if (connection_ && !connection_->IsClosed()) return connection_;
  // A failed attempt fails all calls that waited for it. If each call made its
  // own attempt, one after the other, the waits would add up.
  if (joins_attempt) return nullptr;
  connecting_ = true;
  const time_point limit =
      std::min(deadline, clock_.Now() + options_.connect_timeout);
  auto socket = ConnectTcp(loop_, peer_.host, peer_.port, limit);
  connecting_ = false;
  connection_refused_ = !socket && socket.error() == connect_error::kRefused;
  changed_.notify_all();
  if (!socket || stopped_) return nullptr;
  connection_ =
      frame_connection::MakeFrameConnection(std::move(socket).value(), clock_);
  ++connection_number_;
  connection_->Send(hello{.protocol_version = kProtocolVersion,
                          .sender = self_.name,
                          .incarnation = self_.incarnation,
                          .purpose = purpose_,
                          .connection_number = connection_number_});
  connection_->Start(std::make_shared<reader>(*this), *fibers_);
  log_.Write(event_id::kPeerConnected, {{"peer", peer_.ToString()}});
  const auto connection = connection_;
  QueryStatuses(*connection);
  return connection;
}

// Reconnects after the loss of a connection with pending calls, on a fiber of
// its own.
void call_link::Recover() {
  while (!stopped_ && !pending_.empty()) {
    if (Connect(clock_.Now() + options_.connect_timeout)) break;
    // The port is closed: the process has exited and cannot reply.
    if (connection_refused_) FailPending();
    io_loop::SleepFor(kReconnectDelay);
  }
  recovering_ = false;
}

void call_link::FailPending() {
  for (pending_call* call : pending_ | std::views::values) {
    Finish(*call, outcome::kUnknown, end_reason::kNoUpstream);
  }
}

// Queries the status of every call that was sent on an older connection.
void call_link::QueryStatuses(frame_connection& connection) {
  const std::uint64_t number = connection_number_;
  std::vector<request_id> lost;
  for (const auto& [id, call] : pending_) {
    if (!call->done && call->sent_on_connection < number) lost.push_back(id);
  }
  for (const request_id& id : lost) {
    pending_call* call = Find(id);
    if (call == nullptr) continue;
    // The serving node sends an answer again from its start, so any part that
    // came over the lost connection is discarded.
    call->end_received = false;
    call->dispatch_result.body.clear();
    call->status_queried_at = clock_.Now();
    if (call->fence != nullptr) {
      connection.Send(*call->fence);
    } else {
      connection.Send(call_status_query{id, call->incarnation});
    }
  }
}

void call_link::MonitorSilence() {
  while (!stopped_) {
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopped_ || !pending_.empty(); });
    }
    if (stopped_) return;
    io_loop::SleepFor(options_.silence_timeout / kChecksPerTimeout);
    if (CheckSilence()) connection_->Close();
    FailUnanswered();
  }
}

// Completes calls that may run on another node when their serving node accepts
// connections but does not reply.
void call_link::FailUnanswered() {
  const time_point latest =
      clock_.Now() - options_.silence_timeout / kStatusTimeoutDivisor;
  for (pending_call* call : pending_ | std::views::values) {
    if (call->may_run_elsewhere && call->status_queried_at &&
        *call->status_queried_at <= latest) {
      Finish(*call, outcome::kUnknown, end_reason::kNoUpstream);
    }
  }
}

// Sends a ping if the connection has been silent for part of the timeout.
// Returns true if it has been silent for the whole timeout.
bool call_link::CheckSilence() {
  if (pending_.empty() || !connection_ || connection_->IsClosed()) return false;
  const time_point last_received =
      std::max(connection_->LastReceived(), pending_since_);
  const duration silence = clock_.Now() - last_received;
  if (silence >= options_.silence_timeout) return true;
  if (silence >= options_.silence_timeout / kChecksPerTimeout) {
    const ping probe{};
    connection_->TrySend(probe);
    control_bytes_ += EncodeFrame(probe).size();
  }
  return false;
}

void call_link::HandleMessage(frame_connection& connection, message content) {
  if (&connection != connection_.get()) return;
  if (auto* end = std::get_if<call_end>(&content)) {
    HandleEnd(connection, std::move(*end));
  } else if (const auto* pending = std::get_if<call_status_pending>(&content)) {
    if (pending_call* call = Find(pending->id)) call->status_queried_at.reset();
  } else if (const auto* chunk = std::get_if<body_chunk>(&content)) {
    HandleChunk(connection, *chunk);
  } else if (const auto* reply = std::get_if<load_probe_reply>(&content)) {
    HandleProbeReply(*reply);
  }
}

void call_link::HandleEnd(frame_connection& connection, call_end end) {
  pending_call* call = Find(end.id);
  if (call == nullptr) {
    if (end.call_outcome == outcome::kAnswered)
      connection.TrySend(answer_ack{end.id});
    return;
  }
  if (end.call_outcome == outcome::kAnswered) {
    if (const auto defect = FindAnswerDefect(end.status, end.headers)) {
      DiscardAnswer(connection, *call, end, *defect);
      return;
    }
  }
  if (end.body_size > options_.answer_limit_bytes) {
    Finish(*call, outcome::kUnknown, end_reason::kTooLarge);
    return;
  }
  // The serving node knows what became of a call until its deadline. If this
  // process stood still, "never seen" may come after that and proves nothing.
  const bool is_late_proof = call->fence == nullptr &&
                             end.reason == end_reason::kFenced &&
                             clock_.Now() >= call->deadline;
  if (is_late_proof) {
    Finish(*call, outcome::kUnknown, end_reason::kDeadlinePassed);
    return;
  }
  call->status_queried_at.reset();
  call->dispatch_result.end = std::move(end);
  call->dispatch_result.body.clear();
  call->dispatch_result.body.reserve(call->dispatch_result.end.body_size);
  call->end_received = true;
  FinishIfComplete(connection, *call);
}

// Completes a call whose answer cannot be passed on. The serving node may
// discard the answer; its chunks are ignored.
void call_link::DiscardAnswer(frame_connection& connection, pending_call& call,
                              const call_end& end, answer_defect defect) {
  log_.Write(event_id::kAnswerMalformed, {{"request", end.id.ToString()},
                                          {"source", "node"},
                                          {"from", peer_.ToString()},
                                          {"status", end.status},
                                          {"defect", DefectName(defect)},
                                          {"outcome", "unknown"}});
  connection.TrySend(answer_ack{end.id});
  Finish(call, outcome::kUnknown, end_reason::kUpstreamLost);
}

void call_link::HandleChunk(frame_connection& connection,
                            const body_chunk& chunk) {
  pending_call* call = Find(chunk.id);
  if (call == nullptr || !call->end_received) return;
  std::string& body = call->dispatch_result.body;
  const bool fits =
      chunk.offset == body.size() &&
      body.size() + chunk.bytes.size() <= call->dispatch_result.end.body_size;
  if (!fits) {
    connection.Close();
    return;
  }
  body.append(chunk.bytes);
  FinishIfComplete(connection, *call);
}

void call_link::FinishIfComplete(frame_connection& connection,
                                 pending_call& call) {
  const call_end& end = call.dispatch_result.end;
  if (call.dispatch_result.body.size() < end.body_size) return;
  if (end.call_outcome == outcome::kAnswered)
    connection.TrySend(answer_ack{call.id});
  call.done = true;
  call.changed.notify_all();
}

void call_link::HandleClosed(const frame_connection& connection) {
  if (&connection != connection_.get()) return;
  log_.Write(event_id::kPeerLost,
             {{"peer", peer_.ToString()}, {"pending", pending_.size()}});
  connection_ = nullptr;
  for (pending_call* call : pending_ | std::views::values) {
    call->status_queried_at = clock_.Now();
  }
  if (stopped_ || pending_.empty() || recovering_) return;
  recovering_ = true;
  fibers_->Start([this] { Recover(); });
}

void call_link::Finish(pending_call& call, outcome call_outcome,
                       end_reason reason) {
  if (call.done) return;
  call.dispatch_result.end =
      call_end{.id = call.id, .call_outcome = call_outcome, .reason = reason};
  call.dispatch_result.body.clear();
  call.done = true;
  call.changed.notify_all();
}

call_link::pending_call* call_link::Find(const request_id& id) {
  const auto found = pending_.find(id);
  if (found == pending_.end() || found->second->done) return nullptr;
  return found->second;
}

}  // namespace hornbeam
