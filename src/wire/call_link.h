// The ingress side of the connection for calls to one other node.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hornbeam/clock_source.h"
#include "wire/endpoint.h"
#include "wire/frame_connection.h"
#include "wire/messages.h"

namespace hornbeam {

enum class answer_defect : std::uint8_t;
class cancel_source;
class event_log;
class fiber_group;
class io_loop;

// Identity that a process sends in hello.
struct process_identity {
  std::string name;
  std::uint64_t incarnation = 0;
};

// Result of one dispatch.
struct call_result {
  call_end end;
  std::string body;
  // False if no part of the call was sent.
  bool sent = false;
};

struct call_link_options {
  // A connection with pending calls and without a received byte for this time
  // is considered lost.
  duration silence_timeout = std::chrono::milliseconds(1000);
  duration connect_timeout = kPeerConnectTimeout;
  // Time after its deadline that a call still waits for the serving node's
  // reply.
  duration status_grace = std::chrono::milliseconds(250);
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
};

// Sends calls of one class to one node, over one connection that is replaced
// when it is lost or silent. After a replacement, the link queries the status
// of each pending call, so that every call completes with its own answer or
// with an outcome that is known to be true. Owned by the router, which outlives
// the fibers that use the link. For the I/O thread only.
class call_link {
 public:
  call_link(io_loop& loop, const clock_source& clock, event_log& log,
            const process_identity& self, const endpoint& peer,
            connection_purpose purpose, const call_link_options& options);
  call_link(const call_link&) = delete;
  call_link& operator=(const call_link&) = delete;
  ~call_link();

  // Starts the fiber that monitors the connection for silence.
  void Start(fiber_group& fibers);
  // Stops the monitor and closes the connection. Pending calls complete as
  // kUnknown.
  void Stop();

  // Dispatches one call and waits until it completes. Returns kNotRun if no
  // connection can be opened. `cancel` sends a cancellation to the serving
  // node, whose reply still completes the call.
  call_result Call(const call_start& start, std::string_view body,
                   time_point deadline, cancel_source& cancel);

  // Asks the serving node to fence an attempt and waits for its reply. Returns
  // kUnknown if no connection can be opened.
  call_result Fence(const attempt_fence& fence, time_point deadline);

  // Sends a load probe if the connection is up. `on_reply` is called at most
  // once; a reply is ignored when several newer probes have been sent.
  void Probe(const request_id& id,
             std::function<void(const load_report&)> on_reply);

  [[nodiscard]] std::size_t PendingCalls() const { return pending_.size(); }
  // Returns the bytes of the pings sent so far.
  [[nodiscard]] std::uint64_t ControlBytes() const { return control_bytes_; }

 private:
  struct pending_call;
  class reader;

  void Register(pending_call& call);
  call_result Wait(pending_call& call, time_point deadline);
  // A probe without a reply so far.
  struct open_probe {
    request_id id;
    std::function<void(const load_report&)> on_reply;
  };

  void HandleProbeReply(const load_probe_reply& reply);
  bool SendCall(frame_connection& connection, const call_start& start,
                std::string_view body);
  std::shared_ptr<frame_connection> Connect(time_point deadline);
  void Recover();
  void QueryStatuses(frame_connection& connection);
  void FailPending();
  void MonitorSilence();
  bool CheckSilence();
  void FailUnanswered();
  void HandleMessage(frame_connection& connection, message content);
  void HandleEnd(frame_connection& connection, call_end end);
  void DiscardAnswer(frame_connection& connection, pending_call& call,
                     const call_end& end, answer_defect defect);
  void HandleChunk(frame_connection& connection, const body_chunk& chunk);
  void FinishIfComplete(frame_connection& connection, pending_call& call);
  void HandleClosed(const frame_connection& connection);
  void Finish(pending_call& call, outcome call_outcome, end_reason reason);
  pending_call* Find(const request_id& id);

  io_loop& loop_;
  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  const endpoint peer_;
  const connection_purpose purpose_;
  const call_link_options options_;
  fiber_group* fibers_ = nullptr;
  std::shared_ptr<frame_connection> connection_;
  std::uint64_t connection_number_ = 0;
  bool connecting_ = false;
  bool connection_refused_ = false;
  bool recovering_ = false;
  bool stopped_ = false;
  time_point pending_since_;
  std::uint64_t control_bytes_ = 0;
  std::deque<open_probe> probes_;
  std::unordered_map<request_id, pending_call*> pending_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
