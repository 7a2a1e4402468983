// Table of the leases of all nodes at one control VM.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/clock_source.h"
#include "wire/messages.h"

namespace hornbeam {

// Unit of the lease ages in a lease keepalive.
inline constexpr duration kKeepaliveAgeStep = std::chrono::milliseconds(50);

// The sender of a lease renewal.
enum class lease_source : std::uint8_t {
  kNode,       // The node itself: this control VM is its registrar.
  kForwarded,  // Another control VM, which forwarded the lease.
};

// Keeps the leases without doing I/O or reading a clock: the owner passes in
// the time. The leases are not replicated through the log, because they are
// renewed every second anyway. Among copies of a node's lease the newest
// (incarnation, sequence) wins; a renewal from the node itself with another
// incarnation always wins.
class lease_table {
 public:
  explicit lease_table(duration lease_duration);

  // Applies a renewal that is `age` old. Returns true when the lease is new or
  // its content changed, false when only its time was renewed or it was
  // ignored.
  bool Renew(const lease_renewal& renewal, lease_source source, duration age,
             time_point now);

  // Applies a copy of a node's lease that its `registrar` forwarded.
  void RenewCopy(const lease_copy& copy, std::string_view registrar,
                 time_point now);

  // Returns a keepalive for the leases whose registrar is this control VM, to
  // be sent to the other control VMs.
  [[nodiscard]] lease_keepalive MakeKeepalive(time_point now) const;
  // Renews all leases whose registrar is `registrar`. Returns false, and renews
  // none, when they are not the leases that the keepalive was made from.
  bool ApplyKeepalive(std::string_view registrar,
                      const lease_keepalive& keepalive, time_point now);

  // Ends the node's lease if it belongs to `incarnation` or an older one.
  // Returns false when there is no such live lease.
  bool End(std::string_view node, std::uint64_t incarnation, time_point now);

  // Ends the leases that were not renewed within the lease duration. Returns
  // true when any lease ended.
  bool Expire(time_point now);

  // Renews every live lease. Called after a period in which this control VM
  // could not receive renewals because it was stalled or isolated.
  void RefreshAll(time_point now);

  // Returns the live upstreams of `service`, sorted by node name.
  [[nodiscard]] std::vector<upstream_lease> Upstreams(
      std::string_view service) const;

  // Returns the changes for `service` after `version`; see Version.
  [[nodiscard]] membership_update ChangesSince(std::string_view service,
                                               std::uint64_t version) const;

  // Returns the live leases that nodes renewed at this control VM, and those
  // that ended here since `since`.
  [[nodiscard]] std::vector<lease_copy> LocalCopies(time_point since,
                                                    time_point now) const;
  // Returns only the leases that ended here since `since`.
  [[nodiscard]] std::vector<lease_copy> EndedSince(time_point since,
                                                   time_point now) const;

  // Returns the live leases with their ages, sorted by node name.
  [[nodiscard]] std::vector<node_summary> Summaries(time_point now) const;

  // Increases with each change of any service's upstreams.
  [[nodiscard]] std::uint64_t Version() const { return version_; }
  // Returns the number of leases, including ended ones that are still retained.
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct lease_record {
    lease_renewal renewal;
    lease_source source = lease_source::kNode;
    std::string registrar;  // The registrar that forwarded it; empty for kNode.
    time_point renewed_at;
    std::uint64_t changed_at_version = 0;
    bool live = true;
  };

  void MarkChanged(lease_record& record);
  // Returns the live leases of one registrar, sorted by node name. An empty
  // name stands for this control VM.
  [[nodiscard]] std::vector<const lease_record*> LiveLeases(
      std::string_view registrar) const;
  static std::uint64_t Digest(const std::vector<const lease_record*>& records);

  const duration lease_duration_;
  std::uint64_t version_ = 0;
  std::map<std::string, lease_record, std::less<>> records_;
};

}  // namespace hornbeam
