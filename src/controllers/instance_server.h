// Runs calls of routes at the upstream beside this node.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hornbeam/clock_source.h"
#include "hornbeam/platform_codec.h"
#include "wire/call_server.h"
#include "wire/endpoint.h"

namespace hornbeam {

class event_log;
class fiber_group;
class io_loop;
struct upstream_life;

struct instance_server_options {
  std::size_t answer_limit_bytes = 64UL * 1024 * 1024;
  // Between two health checks of the upstream, which also tell its load.
  duration health_interval = std::chrono::milliseconds(250);
  duration health_timeout = std::chrono::milliseconds(500);
  // Where the upstream is found that runs already when this process starts, and
  // its service; nothing: the first announcement is waited for.
  std::optional<endpoint> upstream;
  std::string service;
};

// The authority for one upstream: only this process reaches it, so only this
// process says what it is given and what did not run. For the I/O thread only;
// owned by the daemon, outlives the fibers on it.
class instance_server final : public call_service {
 public:
  // `on_change` is told whenever the announced state changed.
  instance_server(io_loop& loop, const clock_source& clock, event_log& log,
                  const process_identity& self, const platform_codec& codec,
                  const instance_server_options& options);
  ~instance_server() override;

  void Start(fiber_group& fibers,
             std::function<void(const instance_announcement&, bool)> on_change);
  void Stop();

  // Takes what the upstream says of itself; what is older than what is known
  // changes nothing.
  void Announce(const instance_announcement& announced);
  void Withdraw(const instance_withdrawal& withdrawn);
  // Where the upstream answers health checks.
  void SetHealthPath(std::string path) { health_path_ = std::move(path); }

  // Refuses calls of other nodes from now on.
  void BeginDrain() { draining_ = true; }
  [[nodiscard]] std::size_t RunningCalls() const { return running_; }
  // The upstream's service; empty while none has announced itself.
  [[nodiscard]] std::string Service() const;

  served_call Serve(inbound_call& call) override;
  served_call Fence(const attempt_fence& fence) override;
  bool Probe(load_report& load) override;

 private:
  served_call ServeAt(const std::shared_ptr<upstream_life>& at,
                      inbound_call& call);
  served_call RunAt(const std::shared_ptr<upstream_life>& at,
                    inbound_call& call);
  served_call GiveTo(const std::shared_ptr<upstream_life>& at,
                     inbound_call& call);
  void FollowSpeed(upstream_life& at, time_point now);
  void HealthLoop();
  void CheckHealth(const std::shared_ptr<upstream_life>& at);
  void FindUpstream();
  void AdvanceLoop();
  void Replace(const instance_announcement& announced);
  void Drain(upstream_life& at);
  [[nodiscard]] load_report Report();

  io_loop& loop_;
  const clock_source& clock_;
  event_log& log_;
  const process_identity self_;
  const platform_codec& codec_;
  const instance_server_options options_;
  fiber_group* fibers_ = nullptr;
  std::function<void(const instance_announcement&, bool)> on_change_;
  std::string health_path_ = "/health";
  std::shared_ptr<upstream_life> life_;
  std::uint64_t report_sequence_ = 0;
  std::size_t running_ = 0;
  bool draining_ = false;
  bool stopped_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
