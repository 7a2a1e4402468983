// The serving side of connections for calls from other nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "io/cancel_source.h"
#include "wire/call_link.h"
#include "wire/fate_index.h"
#include "wire/frame_connection.h"
#include "wire/frame_listener.h"
#include "wire/messages.h"

namespace hornbeam {

class event_log;
class fiber_group;

// A call that the serving node has received in full.
struct inbound_call {
  call_start start;
  std::string body;
  std::string ingress;  // Name of the node that dispatched the call.
  time_point deadline;
  cancel_source cancel;
};

// Result of a call at the serving node.
struct served_call {
  call_end end;
  std::string body;
};

// Runs calls. Implemented by the serving controller. Methods may wait on the
// calling fiber.
class call_service {
 public:
  call_service() = default;
  call_service(const call_service&) = delete;
  call_service& operator=(const call_service&) = delete;
  virtual ~call_service() = default;

  // Runs `call`, or rejects it, and returns the result.
  virtual served_call Serve(inbound_call& call) = 0;
  // Fences an attempt of a claimed operation; see attempt_fence for the result.
  virtual served_call Fence(const attempt_fence& fence) = 0;
  // Sets `load` for a probe. Returns false if the probe budget is exhausted.
  virtual bool Probe(load_report& load) = 0;
};

// Calls of which a call_server keeps a record at the most; it rejects further
// ones rather than forget what became of an earlier one.
constexpr std::size_t kMaxCallRecords = 32768;

struct call_server_options {
  std::size_t body_limit_bytes = 8UL * 1024 * 1024;
  // Limits for retained answers, which no ingress has acknowledged yet. Of a
  // call whose answer is dropped the server still knows that it has run.
  std::size_t answer_store_bytes = 64UL * 1024 * 1024;
  duration answer_store_time = std::chrono::seconds(60);
  std::size_t record_limit = kMaxCallRecords;
};

// Receives calls, runs each of them once, and sends each result on the
// connection that carried the call or its latest status query. Owned by the
// daemon. For the I/O thread only.
class call_server final : public frame_handler_factory {
 public:
  call_server(const clock_source& clock, event_log& log,
              const process_identity& self, call_service& service,
              fiber_group& fibers, const call_server_options& options);

  std::shared_ptr<frame_handler> MakeFrameHandler() override;

  // Returns the number of received calls whose result has not been delivered
  // and acknowledged yet. A completed call is not counted if its connection is
  // closed or the acknowledgement is overdue.
  [[nodiscard]] std::size_t UndeliveredCalls() const;

  // Closes every connection.
  void Stop();

 private:
  class session;
  struct call_record;

  void HandleHello(frame_connection& connection, const hello& peer_hello);
  void StartCall(frame_connection& connection, const std::string& ingress,
                 call_start start);
  void AddChunk(frame_connection& connection, const body_chunk& chunk);
  void Run(const std::shared_ptr<call_record>& record);
  static void CompleteWith(call_record& record, served_call served);
  void Deliver(const std::shared_ptr<call_record>& record);
  void AnswerStatusQuery(frame_connection& connection,
                         const call_status_query& query);
  void AnswerFence(frame_connection& connection, const attempt_fence& fence);
  void Cancel(const request_id& id);
  // Removes the record of a completed call that its ingress will not ask for.
  void Forget(const request_id& id);
  void TrimAnswers();
  // Drops the answer of a completed call, but not the fact that it has run.
  void DropAnswer(const call_record& record);
  void DropReceiving(const frame_connection& connection);
  std::shared_ptr<call_record> Find(const request_id& id) const;

  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  call_service& service_;
  fiber_group& fibers_;
  const call_server_options options_;
  std::unordered_map<request_id, std::shared_ptr<call_record>> calls_;
  fate_index fates_;  // Of calls that ran and are not in calls_ any more.
  // The newest connection and its number for each sender and purpose.
  std::unordered_map<std::string, std::weak_ptr<frame_connection>> newest_;
  std::unordered_map<std::string, std::uint64_t> newest_number_;
  std::deque<std::weak_ptr<call_record>> retained_answers_;
  std::size_t retained_bytes_ = 0;
};

}  // namespace hornbeam
