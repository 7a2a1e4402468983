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
  // A renewal from the node itself proves that the node is alive even if its
  // incarnation is lower: it may have restarted after its wall clock was set
  // back.
  const bool speaks_itself = source == lease_source::kNode && !same_life;
  const bool is_older = Order(renewal.lease) < Order(record.renewal.lease);
  if (!is_new && is_older && !speaks_itself) return false;
  const time_point renewed_at = now - age;
  // A late copy does not show which control VM is the node's registrar now.
  const bool is_late_copy = source == lease_source::kOther && record.live &&
                            same_life && renewed_at < record.renewed_at;
  if (!is_new && is_late_copy && record.renewal.lease == renewal.lease) {
    return false;
  }
  // A late copy must not revive a lease whose incarnation has ended.
  if (!is_new && !record.live && same_life && renewed_at <= record.renewed_at) {
    return false;
  }
  const bool changed =
      is_new || !record.live || !(record.renewal.lease == renewal.lease);
  record.renewal = renewal;
  record.source = source;
  record.home.clear();
  record.renewed_at = std::max(record.renewed_at, renewed_at);
  record.live = true;
  if (changed) Touch(record);
  return changed;
}

void lease_table::RenewCopy(const lease_copy& copy, std::string_view home,
                            time_point now) {
  const time_point renewed_at = now - std::chrono::microseconds(copy.age_us);
  Renew(copy.renewal, lease_source::kOther,
        std::chrono::microseconds(copy.age_us), now);
  lease_record& record = records_.at(copy.renewal.lease.node);
  const bool is_taken = record.source == lease_source::kOther &&
                        record.renewal.lease == copy.renewal.lease &&
                        record.renewed_at <= renewed_at;
  if (is_taken) record.home = home;
}

std::vector<const lease_table::lease_record*> lease_table::LiveOf(
    std::string_view home) const {
  const lease_source source =
      home.empty() ? lease_source::kNode : lease_source::kOther;
  std::vector<const lease_record*> found;
  for (const lease_record& record : records_ | std::views::values) {
    if (record.live && record.source == source && record.home == home) {
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
    const std::array<std::uint64_t, 2> life = {lease.incarnation,
                                               lease.sequence};
    digest = XXH64(life.data(), sizeof(life), digest);
  }
  return digest;
}

lease_pulse lease_table::MakePulse(time_point now) const {
  const auto records = LiveOf({});
  lease_pulse pulse{.digest = Digest(records)};
  std::ranges::transform(
      records, std::back_inserter(pulse.ages), [now](const auto* record) {
        constexpr std::int64_t kMost = std::numeric_limits<std::uint8_t>::max();
        const std::int64_t steps =
            (now - record->renewed_at + kPulseAgeStep - duration(1)) /
            kPulseAgeStep;
        return static_cast<char>(std::clamp<std::int64_t>(steps, 0, kMost));
      });
  return pulse;
}

bool lease_table::ApplyPulse(std::string_view home, const lease_pulse& pulse,
                             time_point now) {
  const auto records = LiveOf(home);
  if (records.size() != pulse.ages.size()) return false;
  if (Digest(records) != pulse.digest) return false;
  std::size_t index = 0;
  for (const lease_record* known : records) {
    const auto steps = static_cast<std::uint8_t>(pulse.ages[index++]);
    lease_record& record = records_.find(known->renewal.lease.node)->second;
    record.renewed_at =
        std::max(record.renewed_at, now - steps * kPulseAgeStep);
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

std::vector<lease_copy> lease_table::EndedSince(time_point since,
                                                time_point now) const {
  auto copies = HomeCopies(since, now);
  std::erase_if(copies, [](const lease_copy& copy) { return !copy.ended; });
  return copies;
}

std::vector<lease_copy> lease_table::HomeCopies(time_point since,
                                                time_point now) const {
  std::vector<lease_copy> copies;
  for (const lease_record& record : records_ | std::views::values) {
    const bool is_home = record.source == lease_source::kNode;
    const bool is_told = record.live || record.renewed_at >= since;
    if (!is_home || !is_told) continue;
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
