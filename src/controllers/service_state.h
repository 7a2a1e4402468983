// Settings, members and load-balancing state of one service at an ingress node.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "controllers/service_policy.h"
#include "hornbeam/clock_source.h"
#include "policy/call_classifier.h"
#include "policy/ejector.h"
#include "policy/hedge_budget.h"
#include "policy/load_view.h"
#include "policy/picker.h"
#include "policy/probe_budget.h"
#include "policy/retry_budget.h"
#include "wire/messages.h"

namespace hornbeam {

class random_source;

// The service's settings and upstream leases, with the picker, budgets and
// load view derived from them. Owned by the service directory and shared by
// running calls. For the I/O thread only.
class service_state {
 public:
  service_state(std::string name, const clock_source& clock,
                random_source& random);

  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] const service_policy& Policy() const { return policy_; }
  [[nodiscard]] std::uint64_t Revision() const { return revision_; }
  // Returns true once the settings have been read with the confirmation of a
  // quorum.
  [[nodiscard]] bool IsConfirmed() const { return confirmed_; }
  // Returns true once the upstreams have been received as well, so that the
  // state can be used for routing.
  [[nodiscard]] bool IsComplete() const { return confirmed_ && members_known_; }
  // Returns true when the service has settings or upstreams.
  [[nodiscard]] bool IsKnown() const;
  [[nodiscard]] bool HasMembers() const { return !members_.empty(); }

  // Applies the settings if `revision` is higher than the current one. Returns
  // true when they were applied.
  bool ApplySettings(std::uint64_t revision, const std::string& document,
                     const upstream_lease& self);
  void Confirm() { confirmed_ = true; }

  // Applies a change of the upstreams. The lease `self` of this node determines
  // the subset and the zone distances.
  void ApplyMembershipUpdate(const membership_update& update,
                             const upstream_lease& self);

  // Returns the lease of the node's current incarnation; null when it has none.
  [[nodiscard]] const upstream_lease* FindNode(std::string_view node) const;
  // Returns true when an operator has drained the node.
  [[nodiscard]] bool IsDrained(std::string_view node) const;

  // Returns the lease of a member; null when `id` is not a member any more.
  [[nodiscard]] const upstream_lease* FindMember(const upstream_id& id) const;

  // Records the time of the service's latest call.
  void RecordCallTime(time_point now) { last_call_at_ = now; }
  [[nodiscard]] time_point LastCallAt() const { return last_call_at_; }

  load_view& View() { return view_; }
  ejector& Ejector() { return ejector_; }
  retry_budget& Retries() { return retries_; }
  hedge_budget& Hedges() { return hedges_; }
  probe_budget& Probes() { return *probes_; }
  call_classifier& Classifier() { return *classifier_; }
  picker& Picker() { return *picker_; }

 private:
  void ApplyPolicy();
  void UpdateSubset(const upstream_lease& self);

  const std::string name_;
  const clock_source& clock_;
  random_source& random_;
  service_policy policy_;
  std::string document_;
  std::uint64_t revision_ = 0;
  bool confirmed_ = false;
  bool members_known_ = false;
  time_point last_call_at_;
  std::vector<upstream_lease> members_;  // Sorted by node name.
  load_view view_;
  ejector ejector_;
  retry_budget retries_;
  hedge_budget hedges_;
  std::optional<probe_budget> probes_;
  std::unique_ptr<call_classifier> classifier_;
  std::unique_ptr<picker> picker_;
};

}  // namespace hornbeam
