#include "support/simulated_search.h"

#include <algorithm>
#include <string>

namespace hornbeam {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoundTrip{2};
constexpr duration kReconnectDelay = message_link_options{}.reconnect_delay;

}  // namespace

std::vector<endpoint> MakeAddresses(std::size_t count) {
  std::vector<endpoint> addresses;
  addresses.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    addresses.push_back({"10.0.0." + std::to_string(i + 1), 7620});
  return addresses;
}

simulated_node::simulated_node(const std::vector<address_kind>& kinds,
                               std::size_t first)
    : kinds_(kinds),
      addresses_(MakeAddresses(kinds_.size())),
      links_(kinds_.size()),
      search_(addresses_, first) {
  search_.Start(now_);
}

std::optional<duration> simulated_node::TimeToCurrent(duration limit) {
  const time_point started = now_;
  while (now_ - started <= limit) {
    const time_point due = Step();
    const std::size_t registrar = Registrar();
    if (registrar != kNone && kinds_[registrar] == address_kind::kCurrent)
      return now_ - started;
    RunNextEvent(std::min(due, started + limit + milliseconds(1)));
  }
  return std::nullopt;
}

void simulated_node::RunUntil(time_point until) {
  while (now_ < until) RunNextEvent(std::min(Step(), until));
}

std::size_t simulated_node::Registrar() const {
  if (!search_.Registrar()) return kNone;
  const auto found = std::ranges::find(addresses_, *search_.Registrar());
  return static_cast<std::size_t>(found - addresses_.begin());
}

time_point simulated_node::Step() {
  const time_point due = search_.Advance(now_);
  for (std::size_t i = 0; i < links_.size(); ++i) {
    const bool is_open = search_.IsOpen(addresses_[i]);
    if (links_[i].is_open == is_open) continue;
    // A link that was closed is opened again after a delay at the latest.
    links_[i] = {is_open, is_open ? step::kConnect : step::kNothing,
                 now_ + (used_.contains(i) ? kReconnectDelay : duration(0))};
    used_.insert(i);
  }
  return due;
}

void simulated_node::RunNextEvent(time_point limit) {
  const auto earliest =
      std::ranges::min_element(links_, {}, [](const link& each) {
        return each.next == step::kNothing ? time_point::max() : each.at;
      });
  if (earliest->next == step::kNothing || earliest->at > limit) {
    now_ = std::max(now_, limit);
    return;
  }
  now_ = std::max(now_, earliest->at);
  const auto index = static_cast<std::size_t>(earliest - links_.begin());
  switch (earliest->next) {
    case step::kConnect:
      Connect(index);
      break;
    case step::kOffer:
      Offer(index);
      break;
    case step::kLose:
      LoseConnection(index);
      break;
    case step::kNothing:
      break;
  }
}

void simulated_node::Connect(std::size_t index) {
  ++attempts_;
  const bool answers = kinds_[index] == address_kind::kCurrent ||
                       kinds_[index] == address_kind::kIsolated ||
                       kinds_[index] == address_kind::kLeaving;
  const bool hangs = kinds_[index] == address_kind::kUnreachable ||
                     kinds_[index] == address_kind::kSilent;
  links_[index].next = answers ? step::kOffer : step::kLose;
  links_[index].at = now_ + (hangs ? kPeerConnectTimeout : kRoundTrip);
}

void simulated_node::Offer(std::size_t index) {
  const bool leaves = kinds_[index] == address_kind::kLeaving;
  links_[index].next = leaves ? step::kLose : step::kNothing;
  links_[index].at = now_ + kRoundTrip;
  search_.OnOffer(addresses_[index], kinds_[index] != address_kind::kIsolated,
                  now_);
}

void simulated_node::LoseConnection(std::size_t index) {
  links_[index].next = step::kConnect;
  links_[index].at = now_ + kReconnectDelay;
  search_.OnDown(addresses_[index], now_);
}

}  // namespace hornbeam
