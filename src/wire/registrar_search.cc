#include "wire/registrar_search.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hornbeam {

namespace {

// Time for which a control VM that failed is tried after all others.
constexpr duration kFailureMemory = std::chrono::seconds(3);

bool IsRecent(const std::optional<time_point>& event, time_point now) {
  return event && now - *event < kFailureMemory;
}

}  // namespace

registrar_search::registrar_search(std::span<const endpoint> configured,
                                   std::size_t first)
    : own_(configured[first % configured.size()]) {
  SetConfigured(configured);
}

registrar_search::candidate* registrar_search::Find(const endpoint& address) {
  const auto found =
      std::ranges::find(candidates_, address, &candidate::address);
  return found == candidates_.end() ? nullptr : &*found;
}

const registrar_search::candidate* registrar_search::Find(
    const endpoint& address) const {
  const auto found =
      std::ranges::find(candidates_, address, &candidate::address);
  return found == candidates_.end() ? nullptr : &*found;
}

bool registrar_search::IsPreferred(const endpoint& address) const {
  return std::ranges::find(preferred_, address) != preferred_.end();
}

registrar_search::candidate* registrar_search::Add(const endpoint& address,
                                                   list_change& change) {
  if (candidate* const known = Find(address)) return known;
  if (candidates_.size() >= kMaxControlVms) {
    ++change.rejected;
    return nullptr;
  }
  ++change.added;
  return &candidates_.emplace_back(candidate{.address = address});
}

void registrar_search::Forget(list_change& change) {
  change.forgotten += std::erase_if(candidates_, [this](const candidate& each) {
    return !each.is_configured && !each.is_listed && registrar_ != each.address;
  });
}

registrar_search::list_change registrar_search::SetConfigured(
    std::span<const endpoint> addresses) {
  list_change change;
  if (addresses.empty()) return change;
  for (candidate& each : candidates_) each.is_configured = false;
  for (const endpoint& address : addresses) {
    if (candidate* const known = Add(address, change))
      known->is_configured = true;
  }
  Forget(change);
  return change;
}

registrar_search::list_change registrar_search::SetListed(
    std::span<const endpoint> addresses) {
  list_change change;
  if (addresses.empty()) return change;
  for (candidate& each : candidates_) {
    each.is_listed =
        std::ranges::find(addresses, each.address) != addresses.end();
  }
  Forget(change);
  for (const endpoint& address : addresses) {
    if (candidate* const known = Add(address, change)) known->is_listed = true;
  }
  return change;
}

void registrar_search::SetPreferred(std::span<const endpoint> addresses) {
  preferred_.assign(addresses.begin(), addresses.end());
}

void registrar_search::BeginSearch(time_point now) {
  if (registrar_) own_ = *registrar_;
  registrar_.reset();
  started_at_ = now;
  first_offer_at_.reset();
  for (candidate& each : candidates_) {
    // A registrar that is connected may be current again soon.
    each.is_open = each.address == own_ && each.is_current.has_value();
    each.has_failed = each.is_open;
    if (!each.is_open) each.is_current.reset();
  }
}

void registrar_search::Choose(candidate& chosen, time_point now) {
  if (!registrar_) {
    last_search_ = {.time = now - started_at_,
                    .tried = static_cast<std::size_t>(std::ranges::count_if(
                        candidates_, &candidate::is_open)),
                    .failed = static_cast<std::size_t>(std::ranges::count_if(
                        candidates_, &candidate::has_failed))};
  }
  registrar_ = chosen.address;
  own_ = chosen.address;
  for (candidate& each : candidates_) {
    if (&each == &chosen) continue;
    each.is_open = false;
    each.is_current.reset();
  }
}

void registrar_search::OnOffer(const endpoint& source, bool is_current,
                               time_point now) {
  candidate* const found = Find(source);
  if (found == nullptr || !found->is_open) return;
  found->is_current = is_current;
  if (is_current) {
    if (registrar_ && registrar_ != source) Choose(*found, now);
    return;
  }
  found->failed_at = now;
  found->has_failed = true;
  if (registrar_ == source) {
    BeginSearch(now);
  } else if (registrar_) {
    found->is_open = false;
  }
}

void registrar_search::OnDown(const endpoint& source, time_point now) {
  candidate* const found = Find(source);
  if (found == nullptr || !found->is_open) return;
  found->is_current.reset();
  found->failed_at = now;
  found->has_failed = true;
  if (registrar_ == source) {
    found->lost_at = now;
    BeginSearch(now);
  } else if (registrar_) {
    found->is_open = false;
  }
}

void registrar_search::TryPreferred(time_point now) {
  if (!registrar_ || IsPreferred(*registrar_)) return;
  const bool is_trying =
      std::ranges::count_if(candidates_, &candidate::is_open) > 1;
  if (is_trying) return;
  for (const endpoint& address : preferred_) {
    candidate* const found = Find(address);
    if (found == nullptr || IsRecent(found->failed_at, now)) continue;
    found->is_open = true;
    return;
  }
}

template <class Predicate>
registrar_search::candidate* registrar_search::Best(Predicate is_eligible,
                                                    time_point now) {
  const auto own = std::ranges::find(candidates_, own_, &candidate::address);
  const auto own_index = static_cast<std::size_t>(own - candidates_.begin());
  // The others follow the own registrar in the order of the list, so that the
  // nodes of a lost one do not all go to the same one.
  const auto rank = [&](const candidate& each) {
    const auto index = static_cast<std::size_t>(&each - candidates_.data());
    const std::size_t count = candidates_.size();
    const auto preference = std::ranges::find(preferred_, each.address);
    return std::tuple(IsRecent(each.lost_at, now),
                      IsRecent(each.failed_at, now),
                      preference - preferred_.begin(), !each.is_listed,
                      (index + count - own_index) % count);
  };
  candidate* best = nullptr;
  for (candidate& each : candidates_) {
    if (!is_eligible(each)) continue;
    if (best == nullptr || rank(each) < rank(*best)) best = &each;
  }
  return best;
}

bool registrar_search::HasBetter(const candidate& offered,
                                 time_point now) const {
  if (IsRecent(offered.lost_at, now)) return candidates_.size() > 1;
  const candidate* const own = Find(own_);
  return own != nullptr && own->is_open && own->is_current == false;
}

std::size_t registrar_search::AllowedConnections(time_point now) const {
  const auto rounds = std::clamp<duration::rep>(
      (now - started_at_) / kSearchInterval, 0, kSearchRounds);
  const auto failed = static_cast<std::size_t>(
      std::ranges::count_if(candidates_, &candidate::has_failed));
  return (std::size_t{2} << static_cast<std::size_t>(rounds)) - 1 + failed;
}

time_point registrar_search::Advance(time_point now) {
  if (registrar_) return time_point::max();
  const auto is_offered = [](const candidate& each) {
    return each.is_open && each.is_current == true;
  };
  candidate* const offered = Best(is_offered, now);
  if (offered != nullptr && !first_offer_at_) first_offer_at_ = now;
  const time_point wait_limit = first_offer_at_
                                    ? *first_offer_at_ + kBetterRegistrarWait
                                    : time_point::max();
  if (offered != nullptr && (now >= wait_limit || !HasBetter(*offered, now))) {
    Choose(*offered, now);
    return time_point::max();
  }
  auto opened = static_cast<std::size_t>(
      std::ranges::count_if(candidates_, &candidate::is_open));
  const std::size_t allowed = AllowedConnections(now);
  const auto is_closed = [](const candidate& each) { return !each.is_open; };
  while (opened < std::min(allowed, candidates_.size())) {
    Best(is_closed, now)->is_open = true;
    ++opened;
  }
  const bool all_opened = opened == candidates_.size();
  const time_point next_round =
      all_opened ? time_point::max()
                 : started_at_ + ((now - started_at_) / kSearchInterval + 1) *
                                     kSearchInterval;
  return offered == nullptr ? next_round : std::min(next_round, wait_limit);
}

bool registrar_search::IsOpen(const endpoint& address) const {
  const candidate* const found = Find(address);
  return found != nullptr && found->is_open;
}

std::vector<endpoint> registrar_search::Addresses() const {
  std::vector<endpoint> addresses;
  std::ranges::transform(candidates_, std::back_inserter(addresses),
                         &candidate::address);
  return addresses;
}

}  // namespace hornbeam
