// The routing table and the upstreams of its services, as a node knows them.
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

// One upstream of a service with what its own node last said of its load.
struct fleet_member {
  upstream_lease lease;
  endpoint address;  // Of its node, for calls.
  load_report report;
  bool reported = false;
  time_point reported_at;
  std::uint32_t dispatched_since_report =
      0;                     // Dispatched since the report and not ended.
  time_point avoid_until;    // It could not be reached lately.
  std::uint32_t misses = 0;  // Dispatches in a row that did not reach it.

  [[nodiscard]] upstream_id Id() const {
    return {.node = lease.node, .incarnation = lease.incarnation};
  }
};

struct fleet_options {
  duration lease_interval = std::chrono::milliseconds(1000);
};

// Follows the routing table and all services that it names, and keeps this
// node's lease with the announcement of its upstream. Whatever it knows stays
// in use while no control VM can be reached; versions only go forwards. For the
// I/O thread only; owned by the daemon.
class fleet_directory final : public control_observer {
 public:
  // `self` names this node. All arguments outlive the directory.
  fleet_directory(const clock_source& clock, event_log& log,
                  const upstream_lease& self, const fleet_options& options);
  ~fleet_directory() override;

  void Start(control_client& control, fiber_group& fibers);
  void Stop();

  // Null until a first version is known.
  [[nodiscard]] std::shared_ptr<const routing_snapshot> Table() const {
    return table_;
  }
  // The upstreams of a service; empty for one that is not known.
  [[nodiscard]] std::vector<fleet_member>& Members(std::string_view service);
  // Nodes with an upstream, as far as known.
  [[nodiscard]] std::size_t NodeCount() const;
  [[nodiscard]] fleet_member* Find(std::string_view service,
                                   const upstream_id& id);

  // Waits until the table or the upstreams of a service change, at most until
  // `deadline`.
  void WaitForChange(time_point deadline);

  // Whether callers can be served.
  [[nodiscard]] bool IsReady() const { return table_ && members_told_; }

  // Tells the control VMs of this node's upstream; `service` is empty while
  // there is none.
  void SetOwnUpstream(std::string_view service, std::string_view instance,
                      std::uint32_t slots, bool draining);
  // Tells everyone that this node takes no new calls from now on.
  void BeginDrain();
  // Gives the lease back.
  void EndLease();

  void OnHomeUp() override;
  void OnHomeMessage(message content) override;
  void OnHomeDown() override;

 private:
  void LeaseLoop();
  void SendLease();
  void WatchServices();
  [[nodiscard]] std::optional<routing_table> ReadTable(
      const routing_update& update) const;
  void TakeTable(const routing_update& update);
  void TakeMembers(const membership_update& update);
  void TakeControlList(const control_list& list);
  [[nodiscard]] std::uint64_t Version() const;

  const clock_source& clock_;
  event_log& log_;
  const fleet_options options_;
  upstream_lease self_;
  control_client* control_ = nullptr;
  std::shared_ptr<const routing_snapshot> table_;
  std::map<std::string, std::vector<fleet_member>, std::less<>> services_;
  bool members_told_ = false;
  std::uint64_t changes_ = 0;
  bool stopped_ = false;
  bool draining_ = false;
  bool lease_ended_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
