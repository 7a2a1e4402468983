// Discrete-event simulation of the policy classes: ingress nodes and upstreams
// on one simulated clock, without network, processes or threads.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/seeded_random_source.h"
#include "hornbeam/clock_source.h"
#include "policy/admission_queue.h"
#include "policy/call_classifier.h"
#include "policy/concurrency_limit.h"
#include "policy/ejector.h"
#include "policy/hedge_budget.h"
#include "policy/load_view.h"
#include "policy/picker.h"
#include "policy/probe_budget.h"
#include "policy/retry_budget.h"
#include "policy/subset.h"

namespace hornbeam::trial {

// Load and faults of one simulation. The fault lasts from
// simulated_site::fault_begins to simulated_site::fault_ends.
struct scenario {
  std::string name;
  double load = 0.6;        // Offered work as a share of all slots.
  double slow_factor = 1;   // Slowdown of upstream 0 during the fault.
  bool fails_fast = false;  // Upstream 0 fails all calls during the fault.
  bool cold = false;        // Upstream 0 restarts cold at the fault.
  bool frozen = false;      // Upstream 0 does not answer for the first second.
  bool sheds = false;       // Upstream 0 rejects calls above half its slots.
  bool overrated = false;   // Upstream 0 slows down above half its slots.
  bool noisy = false;       // Each upstream in turn is 4 times slower.
  bool drains = false;      // Upstream 0 drains and restarts warm.
  bool false_reports = false;  // Upstream 0 reports no load during the fault.
  double overload_factor = 1;  // Load factor of the fault, reached in 100 ms.
  overload_policy overload = overload_policy::kWait;
  duration short_deadline = std::chrono::seconds(5);
  duration long_deadline = std::chrono::seconds(30);
};

// Policy under test.
struct contender {
  std::string name;
  picker_kind kind = picker_kind::kExpectedWait;
  // If false: one queue at the upstream for all calls, rejection only by
  // deadline, no ejection and no hedging; retries as in hornbeamlb.
  bool full_policy = true;
  bool hedging = true;
  picker_options options;
  admission_options admission;
};

// Size and timing of the simulated site.
struct simulated_site {
  std::uint32_t ingress_nodes = 14;
  std::uint32_t upstreams = 5;
  std::uint32_t slots = 20;
  std::uint32_t zones = 3;
  double long_share = 0.04;
  duration short_time = std::chrono::milliseconds(10);
  duration long_time = std::chrono::milliseconds(250);
  duration same_zone_delay = std::chrono::microseconds(150);
  duration other_zone_delay = std::chrono::microseconds(1500);
  duration warm_up = std::chrono::seconds(2);
  duration fault_begins = std::chrono::seconds(4);
  duration fault_ends = std::chrono::seconds(12);
  duration arrivals_end = std::chrono::seconds(14);
  double non_idempotent_share = 1.0 / 7;
};

struct outcome_counts {
  // Latencies of calls that arrived during the fault.
  std::vector<double> short_ms;
  std::vector<double> long_ms;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t rejected = 0;  // Completed as "not run".
  std::uint64_t failed = 0;    // Completed by a failure of the upstream.
  std::uint64_t dispatches = 0;
  std::uint64_t rejected_dispatches = 0;
  std::uint64_t hedges = 0;
  // Work completed during the fault as a share of the slot capacity.
  double overload_goodput = 0;
  std::uint64_t probes = 0;
  std::size_t max_probes = 0;  // Most probes of one process in any 100 ms.
};

class simulated_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const override { return now_; }
  [[nodiscard]] wall_time_point WallNow() const override { return {}; }
  void Set(time_point now) { now_ = now; }

 private:
  time_point now_{std::chrono::hours(1)};
};

// Simulates one scenario with one contender and one seed. Single-threaded: all
// events run inside Run.
class site_trial {
 public:
  site_trial(simulated_site size, scenario current_scenario,
             contender current_contender, std::uint64_t seed);

  // Runs the simulation to its end and returns the counts. Call it once.
  outcome_counts Run();

 private:
  struct call {
    time_point arrived;
    time_point deadline;
    bool is_long = false;
    bool idempotent = true;
    double work_us = 0;
    call_class kind = call_class::kShort;
    std::size_t ingress = 0;
    std::uint32_t dispatches = 0;
    std::uint32_t rerouted = 0;
    std::uint32_t in_flight = 0;
    bool done = false;
    bool hedged = false;
    bool in_fault = false;  // The call arrived during the fault.
    std::uint64_t number = 0;
    std::vector<upstream_id> tried;
  };
  struct dispatch {
    std::shared_ptr<call> request;
    request_id id;
    std::size_t upstream = 0;
    dispatch_ticket ticket;
    duration wait_limit = duration::max();
  };
  struct ingress_node {
    std::unique_ptr<seeded_random_source> random;
    std::unique_ptr<load_view> view;
    std::unique_ptr<picker> pick;
    std::unique_ptr<ejector> ejections;
    std::unique_ptr<retry_budget> retries;
    std::unique_ptr<hedge_budget> hedges;
    std::unique_ptr<call_classifier> classifier;
    std::unique_ptr<probe_budget> probes;
    std::vector<time_point> probe_send_times;
  };
  struct upstream_node {
    upstream_id id;
    std::unique_ptr<admission_queue> queue;
    std::unique_ptr<concurrency_limit> limit;
    std::unique_ptr<probe_budget> probes;
    std::uint64_t sequence = 0;
    double failure_share = 0;
    std::unordered_map<request_id, dispatch> pending;
    std::vector<time_point> probe_reply_times;
  };
  struct event {
    time_point at;
    std::uint64_t order;  // Ties at equal times run in order of creation.
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void After(duration delay, std::function<void()> action);
  void MakeNodes();
  void StartUpstream(std::size_t index);
  void PublishMembers(std::size_t first);
  [[nodiscard]] std::string Zone(std::size_t node) const;
  [[nodiscard]] bool InFault() const;
  [[nodiscard]] duration Delay(std::size_t ingress, std::size_t upstream) const;
  [[nodiscard]] double Rate() const;
  void DrainUpstream();
  // Returns the service time of a call that starts now.
  [[nodiscard]] duration RunTime(const call& request,
                                 std::size_t upstream) const;
  [[nodiscard]] std::uint32_t Running(std::size_t upstream) const;
  [[nodiscard]] double SlowdownFactor(std::size_t upstream) const;
  double Exponential(double mean);

  void Arrive();
  void Send(const std::shared_ptr<call>& request);
  std::vector<candidate> Eligible(const call& request);
  void MaybeHedge(const std::shared_ptr<call>& request);
  void Serve(const dispatch& sent);
  void Start(std::size_t upstream, const request_id& id);
  void Finish(const dispatch& sent, duration ran_for, bool failed);
  void Shed(const dispatch& sent);
  void Apply(std::size_t upstream, const admission_change& change);
  void Reject(const dispatch& sent, rejection_reason reason,
              const load_report& report);
  void CancelQueued(std::size_t upstream, std::uint64_t number);
  static std::string_view Route(const call& request);
  void ReceiveAnswer(const dispatch& sent, const load_report& report,
                     duration ran_for, bool failed);
  void CompleteCall(call& request, std::uint64_t& counter);
  load_report Report(std::size_t upstream);
  void Probe(std::size_t ingress);
  void Tick();
  void CountProbes(const std::vector<time_point>& log);

  simulated_site site_;
  scenario scenario_;
  contender contender_;
  simulated_clock clock_;
  time_point start_;
  seeded_random_source random_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t in_flight_ = 0;
  double overload_work_us_ = 0;
  std::priority_queue<event> events_;
  std::vector<ingress_node> ingress_;
  std::vector<upstream_node> upstreams_;
  outcome_counts counts_;
};

}  // namespace hornbeam::trial
