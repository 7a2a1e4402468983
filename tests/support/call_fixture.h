// Test fixture with both ends of a call connection, over loopback on one
// thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/system_clock_source.h"
#include "io/cancel_source.h"
#include "io/fiber_group.h"
#include "io/fiber_signal.h"
#include "io/io_loop.h"
#include "support/silent_relay.h"
#include "wire/call_link.h"
#include "wire/call_server.h"
#include "wire/frame_listener.h"

namespace hornbeam {

// Event log that discards all events.
class null_event_log final : public event_log {
 public:
  void Write(event_id /*id*/,
             std::initializer_list<event_field> /*fields*/) override {}
};

// Call service whose answers the test sets. Counts the calls that ran.
class scripted_service final : public call_service {
 public:
  served_call Serve(inbound_call& call) override {
    ++runs;
    started.insert(call.start.target);
    if (on_serve) on_serve(call);
    return served_call{
        .end = call_end{.call_outcome = outcome::kAnswered,
                        .status = answer_status,
                        .headers = answer_fields},
        .body = answer_body ? answer_body(call) : call.start.target};
  }
  served_call Fence(const attempt_fence& /*fence*/) override {
    return served_call{.end = call_end{.call_outcome = outcome::kNotRun}};
  }
  bool Probe(load_report& /*load*/) override { return true; }

  int runs = 0;
  std::uint32_t answer_status = 200;
  std::vector<header_field> answer_fields;
  std::set<std::string> started;
  std::function<void(const inbound_call&)> on_serve;
  std::function<std::string(const inbound_call&)> answer_body;
};

// A call server and a call link to it through a relay. Create and use the
// fixture on the thread of an io_loop.
class call_fixture {
 public:
  static constexpr std::uint64_t kServerIncarnation = 7;

  explicit call_fixture(io_loop& loop, const call_server_options& options = {});
  ~call_fixture();
  call_fixture(const call_fixture&) = delete;
  call_fixture& operator=(const call_fixture&) = delete;

  // Sends a call for `target` and waits until it completes.
  call_result Call(const std::string& target, const std::string& body = "",
                   duration timeout = std::chrono::seconds(20));
  // Starts Call on a fiber, which writes the result to `result`.
  void StartCall(const std::string& target, call_result& result);
  // Waits until `condition` holds. Returns false after 30 seconds.
  bool WaitFor(const std::function<bool()>& condition);
  // Makes the service hold calls for `target` until `released` is set.
  void HoldCalls(const std::string& target);
  // Replaces the call server by one with the next incarnation.
  void RestartServer();

  scripted_service service;
  system_clock_source clock;
  fiber_group fibers;
  cancel_source cancel;
  bool released = false;
  std::unique_ptr<silent_relay> relay;
  std::unique_ptr<call_link> link;

 private:
  void StartServer(std::uint64_t incarnation, std::uint16_t port);

  io_loop& loop_;
  const call_server_options server_options_;
  null_event_log log_;
  std::unique_ptr<call_server> server_;
  std::unique_ptr<frame_listener> listener_;
  // Replaced servers and listeners, which fibers may still refer to.
  std::vector<std::unique_ptr<call_server>> former_servers_;
  std::vector<std::unique_ptr<frame_listener>> former_listeners_;
  std::uint64_t next_id_ = 1;
};

}  // namespace hornbeam
