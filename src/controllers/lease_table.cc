#include "controllers/lease_table.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

#include "base/microseconds.h"

namespace hornbeam {

namespace {

// Ended leases are remembered for this many lease durations, so that watchers
// and the other control VMs are told and late copies do not revive them.
constexpr int kEndedMemory = 30;

std::tuple<std::uint64_t, std::uint64_t> Order(const upstream_lease& lease) {
  return {lease.incarnation, lease.sequence};
}

}  // namespace

lease_table::lease_table(duration lease_duration)
    : lease_duration_(lease_duration) {}

bool lease_table::Renew(const lease_renewal& renewal, lease_source source,
                        duration age, time_point now) {
  const auto [entry, is_new] = records_.try_emplace(renewal.lease.node);
  lease_record& record = entry->second;
  const bool same_life =
      record.renewal.lease.incarnation == renewal.lease.incarnation;
  // A node that speaks for itself is alive, whatever number it has: it may have
  // restarted after its time of day was set back.
  const bool speaks_itself = source == lease_source::kNode && !same_life;
  const bool is_older = Order(renewal.lease) < Order(record.renewal.lease);
  if (!is_new && is_older && !speaks_itself) return false;
  // An ended incarnation does not come back by a late copy.
  const time_point renewed_at = now - age;
  if (!is_new && !record.live && same_life && renewed_at <= record.renewed_at) {
    return false;
  }
  const bool changed =
      is_new || !record.live || !(record.renewal.lease == renewal.lease);
  record.renewal = renewal;
  record.source = source;
  record.renewed_at = std::max(record.renewed_at, renewed_at);
  record.live = true;
  if (changed) Touch(record);
  return changed;
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
  Touch(record);
  return true;
}

bool lease_table::Expire(time_point now) {
  bool any = false;
  for (lease_record& record : records_ | std::views::values) {
    if (!record.live || now - record.renewed_at < lease_duration_) continue;
    record.live = false;
    Touch(record);
    any = true;
  }
  std::erase_if(records_, [&](const auto& entry) {
    const lease_record& record = entry.second;
    return !record.live &&
           now - record.renewed_at > kEndedMemory * lease_duration_;
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
  return ChangesSince(service, 0).present;
}

membership_update lease_table::ChangesSince(std::string_view service,
                                            std::uint64_t version) const {
  membership_update update{.service = std::string(service),
                           .whole = version == 0};
  for (const auto& [node, record] : records_) {
    if (record.changed_at_version <= version) continue;
    const bool serves = record.live && record.renewal.lease.service == service;
    if (serves) {
      update.present.push_back(record.renewal.lease);
    } else if (!update.whole) {
      update.gone.push_back(node);
    }
  }
  return update;
}

std::vector<lease_copy> lease_table::RenewedSince(time_point since,
                                                  time_point now) const {
  std::vector<lease_copy> copies;
  for (const lease_record& record : records_ | std::views::values) {
    const bool is_home = record.source == lease_source::kNode;
    if (!is_home || record.renewed_at < since) continue;
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

void lease_table::Touch(lease_record& record) {
  record.changed_at_version = ++version_;
}

}  // namespace hornbeam
