// A node's view of the routing table and of the upstreams of its services.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "policy/upstream_id.h"
#include "routing/routing_snapshot.h"
#include "wire/control_client.h"
#include "wire/messages.h"

namespace hornbeam {

class event_log;
class fiber_group;

// One upstream of a service with the load that its node last reported.
struct fleet_member {
  upstream_lease lease;
  endpoint address;  // Where its node accepts calls.
  load_report report;
  bool reported = false;
  time_point reported_at;
  // Calls that this node dispatched since the report and that still run.
  std::uint32_t dispatched_since_report = 0;
  time_point avoid_until;  // End of the backoff after failed dispatches.
  // Dispatches in a row that did not reach it.
  std::uint32_t consecutive_failures = 0;

  [[nodiscard]] upstream_id Id() const {
    return {.node = lease.node, .incarnation = lease.incarnation};
  }
};

struct fleet_options {
  duration lease_interval = std::chrono::milliseconds(1000);
};

// Follows the routing table and the memberships of all services that it names,
// and renews this node's lease, which announces the node's upstream. The last
// known state stays in use while no control VM can be reached, and an older
// version never replaces a newer one. For the I/O thread only; owned by the
// daemon.
class fleet_directory final : public control_observer {
 public:
  // `self` is this node's lease before an upstream is known. `clock` and `log`
  // outlive the directory.
  fleet_directory(const clock_source& clock, event_log& log,
                  const upstream_lease& self, const fleet_options& options);
  ~fleet_directory() override;

  void Start(control_client& control, fiber_group& fibers);
  void Stop();

  // Returns null until a first version is received.
  [[nodiscard]] std::shared_ptr<const routing_snapshot> Table() const {
    return table_;
  }
  // Returns the upstreams of a service; empty for an unknown service.
  [[nodiscard]] std::vector<fleet_member>& Members(std::string_view service);
  // Returns the number of nodes that are known to have an upstream.
  [[nodiscard]] std::size_t NodeCount() const;
  // Returns null when the upstream is not known.
  [[nodiscard]] fleet_member* Find(std::string_view service,
                                   const upstream_id& id);

  // Waits until the table or the upstreams of a service change, or until
  // `deadline`.
  void WaitForChange(time_point deadline);

  // Returns whether a routing table and a membership have been received,
  // without which callers cannot be served.
  [[nodiscard]] bool IsReady() const { return table_ && members_known_; }

  // Announces this node's upstream to the control VMs; `service` is empty while
  // there is none.
  void SetOwnUpstream(std::string_view service, std::string_view instance,
                      std::uint32_t slots, bool draining);
  // Announces that this node accepts no new calls from now on.
  void BeginDrain();
  // Ends this node's lease; it is not renewed afterwards.
  void EndLease();

  void OnRegistrarUp() override;
  void OnRegistrarMessage(message content) override;
  void OnRegistrarDown() override;

 private:
  void LeaseLoop();
  void SendLease();
  void WatchServices();
  [[nodiscard]] std::optional<routing_table> ReadTable(
      const routing_update& update) const;
  void ApplyTable(const routing_update& update);
  void ApplyMembers(const membership_update& update);
  void ApplyControlList(const control_list& list);
  [[nodiscard]] std::uint64_t Version() const;

  const clock_source& clock_;
  event_log& log_;
  const fleet_options options_;
  upstream_lease self_;
  control_client* control_ = nullptr;
  std::shared_ptr<const routing_snapshot> table_;
  std::map<std::string, std::vector<fleet_member>, std::less<>> services_;
  bool members_known_ = false;
  std::uint64_t change_count_ = 0;
  bool stopped_ = false;
  bool draining_ = false;
  bool lease_ended_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
