#include "wire/call_server.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/event_log.h"
#include "io/fiber_group.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

// A stopping node does not wait for the acknowledgement of an answer that has
// been complete for longer than this.
constexpr duration kAckTimeout = std::chrono::seconds(2);

// Added to a call's deadline for clocks that run at different rates.
constexpr duration kDeadlineMargin = std::chrono::seconds(1);

enum class call_stage : std::uint8_t { kReceiving, kRunning, kDone };

std::string SenderKey(const hello& peer_hello) {
  return peer_hello.sender + "/" + std::to_string(peer_hello.incarnation) +
         "/" + std::to_string(static_cast<unsigned>(peer_hello.purpose));
}

call_end MakeEnd(const request_id& id, outcome call_outcome,
                 end_reason reason) {
  return call_end{.id = id, .call_outcome = call_outcome, .reason = reason};
}

}  // namespace

struct call_server::call_record {
  inbound_call call;
  call_stage stage = call_stage::kReceiving;
  call_end end;
  // Shared with the fiber that sends it, since it may be dropped meanwhile;
  // null once it was dropped.
  std::shared_ptr<const std::string> answer_body;
  time_point done_at;
  std::weak_ptr<frame_connection> reply_connection;
};

// Makes `served` the result of the call.
void call_server::CompleteWith(call_record& record, served_call served) {
  record.end = std::move(served.end);
  record.end.id = record.call.start.id;
  record.end.body_size = served.body.size();
  record.answer_body =
      std::make_shared<const std::string>(std::move(served.body));
  record.stage = call_stage::kDone;
}

// One accepted connection.
class call_server::session final : public frame_handler {
 public:
  explicit session(call_server& server) : server_(server) {}

  void OnMessage(frame_connection& connection, message content) override {
    if (auto* peer_hello = std::get_if<hello>(&content)) {
      if (peer_hello->protocol_version != kProtocolVersion) {
        connection.Close();
        return;
      }
      ingress_ = peer_hello->sender;
      server_.HandleHello(connection, *peer_hello);
      return;
    }
    // Messages before hello are a protocol violation.
    if (ingress_.empty()) {
      connection.Close();
      return;
    }
    OnCallMessage(connection, std::move(content));
  }

  void OnClosed(frame_connection& connection) override {
    server_.DropReceiving(connection);
  }

 private:
  void OnCallMessage(frame_connection& connection, message content) {
    if (auto* start = std::get_if<call_start>(&content)) {
      server_.StartCall(connection, ingress_, std::move(*start));
    } else if (const auto* chunk = std::get_if<body_chunk>(&content)) {
      server_.AddChunk(connection, *chunk);
    } else if (const auto* cancel = std::get_if<call_cancel>(&content)) {
      server_.Cancel(cancel->id);
    } else if (const auto* ack = std::get_if<answer_ack>(&content)) {
      server_.Forget(ack->id);
    } else if (const auto* query = std::get_if<call_status_query>(&content)) {
      server_.AnswerStatusQuery(connection, *query);
    } else if (const auto* fence = std::get_if<attempt_fence>(&content)) {
      server_.AnswerFence(connection, *fence);
    } else if (const auto* probe = std::get_if<ping>(&content)) {
      connection.TrySend(pong{probe->nonce});
    } else if (const auto* load_query = std::get_if<load_probe>(&content)) {
      load_probe_reply reply{.id = load_query->id, .load = {}};
      if (server_.service_.Probe(reply.load)) connection.TrySend(reply);
    }
  }

  call_server& server_;
  std::string ingress_;
};

call_server::call_server(const clock_source& clock, event_log& log,
                         const process_identity& self, call_service& service,
                         fiber_group& fibers,
                         const call_server_options& options)
    : clock_(clock),
      log_(log),
      self_(self),
      service_(service),
      fibers_(fibers),
      options_(options) {}

std::shared_ptr<frame_handler> call_server::MakeFrameHandler() {
  return std::make_shared<session>(*this);
}

std::size_t call_server::UndeliveredCalls() const {
  const time_point oldest = clock_.Now() - kAckTimeout;
  return static_cast<std::size_t>(std::ranges::count_if(
      calls_ | std::views::values, [oldest](const auto& record) {
        const bool has_receiver =
            !record->reply_connection.expired() && record->done_at >= oldest;
        return record->stage != call_stage::kDone || has_receiver;
      }));
}

void call_server::Stop() {
  for (const auto& newest : newest_ | std::views::values) {
    if (const auto connection = newest.lock()) connection->Close();
  }
}

void call_server::HandleHello(frame_connection& connection,
                              const hello& peer_hello) {
  const std::string key = SenderKey(peer_hello);
  std::uint64_t& number = newest_number_[key];
  if (peer_hello.connection_number < number) {
    connection.Close();
    return;
  }
  number = peer_hello.connection_number;
  // Bytes that were delayed on an older connection must not be processed after
  // a status query on this one.
  if (const auto older = newest_[key].lock()) {
    older->Close();
    DropReceiving(*older);
  }
  newest_[key] = connection.weak_from_this();
  connection.TrySend(hello{.protocol_version = kProtocolVersion,
                           .sender = self_.name,
                           .incarnation = self_.incarnation,
                           .purpose = peer_hello.purpose,
                           .connection_number = peer_hello.connection_number});
}

void call_server::StartCall(frame_connection& connection,
                            const std::string& ingress, call_start start) {
  const request_id id = start.id;
  if (calls_.contains(id)) return;
  if (start.body_size > options_.body_limit_bytes) {
    connection.Send(MakeEnd(id, outcome::kNotRun, end_reason::kTooLarge));
    return;
  }
  if (start.incarnation != self_.incarnation) {
    connection.Send(
        MakeEnd(id, outcome::kNotRun, end_reason::kWrongIncarnation));
    return;
  }
  fates_.RemoveExpired(clock_.Now());
  if (calls_.size() + fates_.Size() >= options_.record_limit) {
    connection.Send(MakeEnd(id, outcome::kNotRun, end_reason::kQueueFull));
    return;
  }
  auto record = std::make_shared<call_record>();
  record->call.deadline =
      clock_.Now() + std::chrono::microseconds(start.deadline_us);
  record->call.ingress = ingress;
  record->call.start = std::move(start);
  record->reply_connection = connection.weak_from_this();
  calls_.emplace(id, record);
  if (record->call.start.body_size == 0) Run(record);
}

void call_server::AddChunk(frame_connection& connection,
                           const body_chunk& chunk) {
  const auto record = Find(chunk.id);
  if (!record || record->stage != call_stage::kReceiving) return;
  std::string& body = record->call.body;
  const std::size_t expected_size = record->call.start.body_size;
  const bool fits = chunk.offset == body.size() &&
                    body.size() + chunk.bytes.size() <= expected_size;
  if (!fits) {
    connection.Close();
    return;
  }
  body.append(chunk.bytes);
  if (body.size() == expected_size) Run(record);
}

void call_server::Run(const std::shared_ptr<call_record>& record) {
  record->stage = call_stage::kRunning;
  fibers_.Start([this, record] {
    CompleteWith(*record, service_.Serve(record->call));
    record->done_at = clock_.Now();
    record->call.body = std::string();
    retained_bytes_ += record->answer_body->size();
    retained_answers_.push_back(record);
    TrimAnswers();
    Deliver(record);
  });
}

void call_server::Deliver(const std::shared_ptr<call_record>& record) {
  const auto connection = record->reply_connection.lock();
  if (!connection || !connection->Send(record->end)) return;
  for (std::size_t offset = 0; offset < record->end.body_size;
       offset += kBodyChunkBytes) {
    // May be dropped whenever Send waits.
    const auto body = record->answer_body;
    if (!body) {
      connection->Send(MakeEnd(record->call.start.id, outcome::kUnknown,
                               end_reason::kForgotten));
      return;
    }
    if (!connection->Send(body_chunk{record->call.start.id, offset,
                                     body->substr(offset, kBodyChunkBytes)})) {
      return;
    }
  }
  // A rejection needs no record: a later status query gives the same outcome,
  // kNotRun.
  if (record->end.call_outcome == outcome::kNotRun) {
    Forget(record->call.start.id);
  }
}

void call_server::AnswerStatusQuery(frame_connection& connection,
                                    const call_status_query& query) {
  if (query.incarnation != self_.incarnation) {
    connection.Send(
        MakeEnd(query.id, outcome::kUnknown, end_reason::kWrongIncarnation));
    return;
  }
  const auto record = Find(query.id);
  if (!record && fates_.Contains(query.id)) {
    connection.Send(
        MakeEnd(query.id, outcome::kUnknown, end_reason::kForgotten));
    return;
  }
  if (!record) {
    // The connection that carried the call is closed, so the call can no longer
    // arrive.
    connection.Send(MakeEnd(query.id, outcome::kNotRun, end_reason::kFenced));
    return;
  }
  record->reply_connection = connection.weak_from_this();
  if (record->stage != call_stage::kDone) {
    connection.Send(call_status_pending{query.id});
    return;
  }
  fibers_.Start([this, record] { Deliver(record); });
}

void call_server::AnswerFence(frame_connection& connection,
                              const attempt_fence& fence) {
  fibers_.Start([this, fence, weak = connection.weak_from_this()] {
    auto record = std::make_shared<call_record>();
    record->call.start.id = fence.id;
    record->reply_connection = weak;
    CompleteWith(*record, service_.Fence(fence));
    Deliver(record);
  });
}

void call_server::Cancel(const request_id& id) {
  if (const auto record = Find(id)) record->call.cancel.Cancel();
}

void call_server::Forget(const request_id& id) {
  fates_.Erase(id);
  const auto record = Find(id);
  if (!record || record->stage != call_stage::kDone) return;
  retained_bytes_ -= record->answer_body->size();
  record->answer_body.reset();
  calls_.erase(id);
}

void call_server::DropAnswer(const call_record& record) {
  const request_id id = record.call.start.id;
  const time_point now = clock_.Now();
  const bool may_have_run = record.end.call_outcome != outcome::kNotRun;
  log_.Write(event_id::kAnswerDropped,
             {{"call", id.ToString()},
              {"ingress", record.call.ingress},
              {"ran", may_have_run},
              {"bytes", record.end.body_size},
              {"age_ms", (now - record.done_at).count() / 1000},
              {"kept_bytes", retained_bytes_}});
  const time_point keep_until = record.call.deadline + kDeadlineMargin;
  Forget(id);
  if (may_have_run && keep_until > now) fates_.Add(id, keep_until);
}

void call_server::TrimAnswers() {
  const time_point oldest = clock_.Now() - options_.answer_store_time;
  while (!retained_answers_.empty()) {
    const auto record = retained_answers_.front().lock();
    // The newest answer is about to be sent, whatever its size.
    const bool fits = retained_bytes_ <= options_.answer_store_bytes ||
                      retained_answers_.size() == 1;
    const bool keep = record && fits && record->done_at >= oldest;
    if (keep) return;
    if (record && record->answer_body) DropAnswer(*record);
    retained_answers_.pop_front();
  }
}

// Drops the incomplete calls of a closed connection. They have not run, and
// their remaining bytes can no longer arrive.
void call_server::DropReceiving(const frame_connection& connection) {
  std::erase_if(calls_, [&connection](const auto& entry) {
    const call_record& record = *entry.second;
    return record.stage == call_stage::kReceiving &&
           record.reply_connection.lock().get() == &connection;
  });
}

std::shared_ptr<call_server::call_record> call_server::Find(
    const request_id& id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second;
}

}  // namespace hornbeam
