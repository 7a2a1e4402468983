// Directory of the services that this node calls, and renewal of its own lease.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/service_state.h"
#include "hornbeam/clock_source.h"
#include "wire/control_client.h"
#include "wire/messages.h"

namespace hornbeam {

class event_log;
class fiber_group;
class random_source;
class serving_controller;

struct directory_options {
  duration lease_interval = std::chrono::milliseconds(1000);
  // Time limit of one quorum-confirmed read of settings.
  duration read_timeout = std::chrono::milliseconds(2000);
};

// Watches the members and settings of the services that callers request, and
// renews this node's lease with the announcement of its upstream. The last
// known state stays in use while no control VM is reachable. For the I/O thread
// only; owned by the daemon.
class service_directory final : public control_observer {
 public:
  // `self` identifies this node; its service, slots and drain state are filled
  // in from `serving`. `clock`, `random`, `log` and `serving` must outlive the
  // directory.
  service_directory(const clock_source& clock, random_source& random,
                    event_log& log, const upstream_lease& self,
                    serving_controller& serving,
                    const directory_options& options);
  ~service_directory() override;

  void Start(control_client& control, fiber_group& fibers);
  void Stop();

  // Returns the state of `service`, which is watched from now on. Waits until
  // `deadline` for its settings to be confirmed and its upstreams to be
  // received. Returns null when that fails or when too many services are
  // watched.
  std::shared_ptr<service_state> Find(std::string_view service,
                                      time_point deadline);

  // Returns every watched service.
  [[nodiscard]] std::vector<std::shared_ptr<service_state>> Services() const;

  // Returns true when `service` is watched and has settings or upstreams.
  [[nodiscard]] bool IsKnown(std::string_view service) const;

  // Returns true once a quorum has confirmed the settings revision and the
  // registrar has reported that it knows all leases.
  [[nodiscard]] bool IsReady() const { return confirmed_ && registrar_synced_; }
  // Returns the highest revision of the settings store that this node has seen;
  // 0 before the first.
  [[nodiscard]] std::uint64_t Revision() const { return store_revision_; }

  // Renews the lease immediately, for a change that cannot wait for the next
  // interval.
  void RenewLease();
  // Publishes in the lease that this node accepts no new calls from now on.
  void BeginDrain();
  // Ends the lease and stops renewing it.
  void EndLease();

  void OnRegistrarUp() override;
  void OnRegistrarMessage(message content) override;
  void OnRegistrarDown() override;

 private:
  void LeaseLoop();
  void ConfirmLoop();
  bool ConfirmRevision();
  void SendWatch(const service_state& service);
  void Confirm(const std::shared_ptr<service_state>& service);
  void ApplySettings(const settings_update& update);
  void ApplyToServing();
  std::shared_ptr<service_state> FindOrWatch(std::string_view service);
  void EvictUnknownServices();
  void RaiseRevision(std::uint64_t revision);
  void UpdateOwnLease();

  const clock_source& clock_;
  random_source& random_;
  event_log& log_;
  serving_controller& serving_;
  const directory_options options_;
  upstream_lease self_;
  control_client* control_ = nullptr;
  fiber_group* fibers_ = nullptr;
  std::map<std::string, std::shared_ptr<service_state>, std::less<>> services_;
  std::uint64_t store_revision_ = 0;
  bool confirmed_ = false;
  bool registrar_synced_ = false;
  bool stopped_ = false;
  bool draining_ = false;
  bool lease_ended_ = false;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
};

}  // namespace hornbeam
