#include "controllers/lease_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <ranges>
#include <tuple>

#include "base/microseconds.h"

namespace hornbeam {

namespace {

// Number of lease durations for which an ended lease is retained, so that
// watchers and the other control VMs are notified and late copies do not revive
// it.
constexpr int kEndedRetention = 30;

std::tuple<std::uint64_t, std::uint64_t> LeaseVersion(
    const upstream_lease& lease) {
  return {lease.incarnation, lease.sequence};
}

}  // namespace

lease_table::lease_table(duration lease_duration)
    : lease_duration_(lease_duration) {}

bool lease_table::Renew(const lease_renewal& renewal, lease_source source,
                        duration age, time_point now) {
  const auto [entry, is_new] = records_.try_emplace(renewal.lease.node);
  lease_record& record = entry->second;
  const bool same_incarnation =
      record.renewal.lease.incarnation == renewal.lease.incarnation;
  // A renewal from the node itself proves that the node is alive even if its
  // incarnation is lower: it may have restarted after its wall clock was set
  // back.
  const bool is_restart = source == lease_source::kNode && !same_incarnation;
  const bool is_older =
      LeaseVersion(renewal.lease) < LeaseVersion(record.renewal.lease);
  const time_point renewed_at = now - age;
  // Other control VMs see such a restart by copies that are more recent than
  // the end of the previous lease can have been.
  const bool is_forwarded_restart =
      !record.live && !same_incarnation &&
      renewed_at >= record.renewed_at + lease_duration_;
  if (!is_new && is_older && !is_restart && !is_forwarded_restart) return false;
  // A late copy does not show which control VM is the node's registrar now.
  const bool is_late_copy = source == lease_source::kForwarded && record.live &&
                            same_incarnation && renewed_at < record.renewed_at;
  if (!is_new && is_late_copy && record.renewal.lease == renewal.lease) {
    return false;
  }
  // A late copy must not revive a lease whose incarnation has ended.
  if (!is_new && !record.live && same_incarnation &&
      renewed_at <= record.renewed_at) {
    return false;
  }
  const bool changed =
      is_new || !record.live || !(record.renewal.lease == renewal.lease);
  record.renewal = renewal;
  record.source = source;
  record.registrar.clear();
  record.renewed_at = std::max(record.renewed_at, renewed_at);
  record.live = true;
  if (changed) MarkChanged(record);
  return changed;
}

void lease_table::RenewCopy(const lease_copy& copy, std::string_view registrar,
                            time_point now) {
  const time_point renewed_at = now - std::chrono::microseconds(copy.age_us);
  Renew(copy.renewal, lease_source::kForwarded,
        std::chrono::microseconds(copy.age_us), now);
  lease_record& record = records_.at(copy.renewal.lease.node);
  const bool was_applied = record.source == lease_source::kForwarded &&
                           record.renewal.lease == copy.renewal.lease &&
                           record.renewed_at <= renewed_at;
  if (was_applied) record.registrar = registrar;
}

std::vector<const lease_table::lease_record*> lease_table::LiveLeases(
    std::string_view registrar) const {
  const lease_source source =
      registrar.empty() ? lease_source::kNode : lease_source::kForwarded;
  std::vector<const lease_record*> found;
  for (const lease_record& record : records_ | std::views::values) {
    if (record.live && record.source == source &&
        record.registrar == registrar) {
      found.push_back(&record);
    }
  }
  return found;
}

std::uint64_t lease_table::Digest(
    const std::vector<const lease_record*>& records) {
  std::uint64_t digest = 0;
  for (const lease_record* record : records) {
    const upstream_lease& lease = record->renewal.lease;
    digest = XXH64(lease.node.data(), lease.node.size(), digest);
    const std::array<std::uint64_t, 2> lease_version = {lease.incarnation,
                                                        lease.sequence};
    digest = XXH64(lease_version.data(), sizeof(lease_version), digest);
  }
  return digest;
}

lease_keepalive lease_table::MakeKeepalive(time_point now) const {
  const auto records = LiveLeases({});
  lease_keepalive keepalive{.digest = Digest(records)};
  std::ranges::transform(
      records, std::back_inserter(keepalive.ages), [now](const auto* record) {
        constexpr std::int64_t kMaxSteps =
            std::numeric_limits<std::uint8_t>::max();
        const std::int64_t steps =
            (now - record->renewed_at + kKeepaliveAgeStep - duration(1)) /
            kKeepaliveAgeStep;
        return static_cast<char>(std::clamp<std::int64_t>(steps, 0, kMaxSteps));
      });
  return keepalive;
}

bool lease_table::ApplyKeepalive(std::string_view registrar,
                                 const lease_keepalive& keepalive,
                                 time_point now) {
  const auto records = LiveLeases(registrar);
  if (records.size() != keepalive.ages.size()) return false;
  if (Digest(records) != keepalive.digest) return false;
  std::size_t index = 0;
  for (const lease_record* known : records) {
    const auto steps = static_cast<std::uint8_t>(keepalive.ages[index++]);
    lease_record& record = records_.find(known->renewal.lease.node)->second;
    record.renewed_at =
        std::max(record.renewed_at, now - steps * kKeepaliveAgeStep);
  }
  return true;
}

bool lease_table::End(std::string_view node, std::uint64_t incarnation,
                      time_point now) {
  const auto found = records_.find(node);
  if (found == records_.end()) return false;
  lease_record& record = found->second;
  if (!record.live || record.renewal.lease.incarnation > incarnation) {
    return false;
  }
  record.live = false;
  record.renewed_at = now;
  MarkChanged(record);
  return true;
}

bool lease_table::Expire(time_point now) {
  bool any = false;
  for (lease_record& record : records_ | std::views::values) {
    if (!record.live || now - record.renewed_at < lease_duration_) continue;
    record.live = false;
    MarkChanged(record);
    any = true;
  }
  std::erase_if(records_, [&](const auto& entry) {
    const lease_record& record = entry.second;
    return !record.live &&
           now - record.renewed_at > kEndedRetention * lease_duration_;
  });
  return any;
}

void lease_table::RefreshAll(time_point now) {
  for (lease_record& record : records_ | std::views::values) {
    if (record.live) record.renewed_at = now;
  }
}

std::vector<upstream_lease> lease_table::Upstreams(
    std::string_view service) const {
  return ChangesSince(service, 0).active_leases;
}

membership_update lease_table::ChangesSince(std::string_view service,
                                            std::uint64_t version) const {
  membership_update update{.service = std::string(service),
                           .complete = version == 0};
  for (const auto& [node, record] : records_) {
    if (record.changed_at_version <= version) continue;
    const bool serves = record.live && record.renewal.lease.service == service;
    if (serves) {
      update.active_leases.push_back(record.renewal.lease);
    } else if (!update.complete) {
      update.removed_nodes.push_back(node);
    }
  }
  return update;
}

std::vector<lease_copy> lease_table::EndedSince(time_point since,
                                                time_point now) const {
  auto copies = LocalCopies(since, now);
  std::erase_if(copies, [](const lease_copy& copy) { return !copy.ended; });
  return copies;
}

std::vector<lease_copy> lease_table::LocalCopies(time_point since,
                                                 time_point now) const {
  std::vector<lease_copy> copies;
  for (const lease_record& record : records_ | std::views::values) {
    const bool is_local = record.source == lease_source::kNode;
    const bool is_included = record.live || record.renewed_at >= since;
    if (!is_local || !is_included) continue;
    copies.push_back({.renewal = record.renewal,
                      .age_us = ToMicroseconds(now - record.renewed_at),
                      .ended = !record.live});
  }
  return copies;
}

std::vector<node_summary> lease_table::Summaries(time_point now) const {
  std::vector<node_summary> summaries;
  for (const lease_record& record : records_ | std::views::values) {
    if (!record.live) continue;
    summaries.push_back({.lease = record.renewal.lease,
                         .settings_revision = record.renewal.settings_revision,
                         .age_us = ToMicroseconds(now - record.renewed_at)});
  }
  return summaries;
}

void lease_table::MarkChanged(lease_record& record) {
  record.changed_at_version = ++version_;
}

}  // namespace hornbeam
