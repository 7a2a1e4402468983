// The leases of all nodes as one control VM knows them.
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

// Ages in a lease_pulse are counted in steps of this length.
inline constexpr duration kPulseAgeStep = std::chrono::milliseconds(50);

// How a lease came to this control VM.
enum class lease_source : std::uint8_t {
  kNode,   // From the node itself: this control VM is its home.
  kOther,  // Passed on by another control VM.
};

// A pure table: no I/O, and time is handed in. State that is not replicated
// through the log: leases are renewed every second anyway. The newest
// (incarnation, sequence) of a node wins among copies; what a node says itself
// about another of its lives always does.
class lease_table {
 public:
  explicit lease_table(duration lease_duration);

  // Takes a renewal of that age. Returns true when the upstreams of a service
  // changed by it; a mere renewal changes nothing.
  bool Renew(const lease_renewal& renewal, lease_source source, duration age,
             time_point now);

  // Takes what the control VM `home` passes on of a node.
  void RenewCopy(const lease_copy& copy, std::string_view home, time_point now);

  // Tells the other control VMs that the leases renewed here are alive.
  [[nodiscard]] lease_pulse MakePulse(time_point now) const;
  // Renews all leases whose home is `home`; false when they are not those that
  // the pulse speaks of.
  bool ApplyPulse(std::string_view home, const lease_pulse& pulse,
                  time_point now);

  // Ends the lease of that incarnation of the node, or of an older one.
  bool End(std::string_view node, std::uint64_t incarnation, time_point now);

  // Drops leases that were not renewed for the lease duration; true when any
  // was.
  bool Expire(time_point now);

  // Counts every live lease as renewed now: after a time in which this control
  // VM could not have heard of renewals.
  void RefreshAll(time_point now);

  // The live upstreams of `service`, by node name.
  [[nodiscard]] std::vector<upstream_lease> Upstreams(
      std::string_view service) const;

  // What changed for `service` after `version`; see Version.
  [[nodiscard]] membership_update ChangesSince(std::string_view service,
                                               std::uint64_t version) const;

  // The leases that nodes renewed here, and those that ended here since
  // `since`.
  [[nodiscard]] std::vector<lease_copy> HomeCopies(time_point since,
                                                   time_point now) const;
  // Those that ended here since `since`.
  [[nodiscard]] std::vector<lease_copy> EndedSince(time_point since,
                                                   time_point now) const;

  [[nodiscard]] std::vector<node_summary> Summaries(time_point now) const;

  // Grows with each change of any service's upstreams.
  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] std::size_t size() const { return records_.size(); }

 private:
  struct lease_record {
    lease_renewal renewal;
    lease_source source = lease_source::kNode;
    std::string home;  // Who passed it on; empty for kNode.
    time_point renewed_at;
    std::uint64_t changed_at_version = 0;
    bool live = true;
  };

  void Touch(lease_record& record);
  // The live leases of one home, this one when it is empty, by node name.
  [[nodiscard]] std::vector<const lease_record*> LiveOf(
      std::string_view home) const;
  static std::uint64_t Digest(const std::vector<const lease_record*>& records);

  const duration lease_duration_;
  std::uint64_t version_ = 0;
  std::map<std::string, lease_record, std::less<>> records_;
};

}  // namespace hornbeam
