#include "wire/control_client.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>
#include <mutex>
#include <numeric>
#include <utility>

#include "io/fiber_group.h"
#include "wire/control_channel.h"
#include "wire/message_link.h"

namespace hornbeam {

std::unique_ptr<control_client> control_client::MakeControlClient(
    io_loop& loop, const clock_source& clock, const process_identity& self,
    std::span<const endpoint> addresses, std::size_t first_registrar,
    control_observer* observer, duration silence_timeout) {
  assert(!addresses.empty());
  return std::unique_ptr<control_client>(
      new control_client(loop, clock, self, addresses, first_registrar,
                         observer, silence_timeout));
}

control_client::control_client(io_loop& loop, const clock_source& clock,
                               process_identity self,
                               std::span<const endpoint> addresses,
                               std::size_t first_registrar,
                               control_observer* observer,
                               duration silence_timeout)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      observer_(observer),
      silence_timeout_(silence_timeout),
      search_(addresses, first_registrar),
      settings_leader_(first_registrar % addresses.size()),
      ledger_leader_(settings_leader_) {
  ApplyList({});
}

registrar_search::list_change control_client::SetConfigured(
    std::span<const endpoint> addresses) {
  return ApplyList(search_.SetConfigured(addresses));
}

registrar_search::list_change control_client::SetListed(
    std::span<const endpoint> addresses) {
  return ApplyList(search_.SetListed(addresses));
}

// Makes the channels those of the known control VMs.
registrar_search::list_change control_client::ApplyList(
    registrar_search::list_change change) {
  const auto known = search_.Addresses();
  const auto is_forgotten = [&known](const auto& each) {
    return std::ranges::find(known, each->Link().Peer()) == known.end();
  };
  std::ranges::copy_if(channels_, std::back_inserter(retired_), is_forgotten);
  std::erase_if(channels_, is_forgotten);
  for (const auto& each : retired_) each->Stop();
  for (const endpoint& address : known) {
    const auto has_address = [&address](const auto& each) {
      return each->Link().Peer() == address;
    };
    if (std::ranges::any_of(channels_, has_address)) continue;
    channels_.push_back(std::make_shared<channel>(loop_, clock_, self_, address,
                                                  *this, silence_timeout_));
    if (fibers_ != nullptr) channels_.back()->SetFibers(*fibers_);
  }
  settings_leader_ %= channels_.size();
  ledger_leader_ %= channels_.size();
  std::erase_if(retired_, [this](const auto& each) {
    if (each.use_count() > 1 || !each->HasEnded()) return false;
    retired_bytes_ += each->Link().TotalBytes();
    return true;
  });
  ApplySearch();
  return change;
}

control_client::~control_client() = default;

void control_client::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  for (const auto& each : channels_) each->SetFibers(fibers);
  if (observer_ == nullptr) return;
  search_.Start(clock_.Now());
  fibers.Start([this] { SearchLoop(); });
}

void control_client::Stop() {
  stopped_ = true;
  for (const auto& each : channels_) each->Stop();
  search_changed_.notify_all();
}

bool control_client::IsRegistered(const endpoint& address) const {
  const auto registrar = RegistrarChannel();
  return search_.Registrar() == address && registrar &&
         registrar->Link().IsUp();
}

bool control_client::SendToRegistrar(const message& content) {
  const auto registrar = RegistrarChannel();
  return registrar && registrar->Link().TrySend(content);
}

void control_client::PreferRegistrars(std::span<const endpoint> addresses) {
  std::vector<endpoint> preferred(addresses.begin(), addresses.end());
  if (!preferred.empty()) {
    // Distributes the nodes of a zone evenly over its control VMs.
    const std::size_t first =
        std::hash<std::string>()(self_.name) % preferred.size();
    std::ranges::rotate(preferred,
                        preferred.begin() + static_cast<std::ptrdiff_t>(first));
  }
  search_.SetPreferred(preferred);
  SelectPreferredRegistrar();
}

void control_client::SelectPreferredRegistrar() {
  if (observer_ == nullptr) return;
  search_.TryPreferred(clock_.Now());
  ApplySearch();
}

// Takes the steps of the search that no event causes.
void control_client::SearchLoop() {
  while (!stopped_) {
    const time_point due = search_.Advance(clock_.Now());
    ApplySearch();
    std::unique_lock lock(mutex_);
    if (due == time_point::max()) {
      search_changed_.wait(lock);
    } else {
      search_changed_.wait_until(lock, due);
    }
  }
}

void control_client::ApplySearch() {
  if (fibers_ == nullptr || observer_ == nullptr || stopped_) return;
  TellObserver();
  const bool was_searching = !search_.Registrar();
  do {
    search_.Advance(clock_.Now());
  } while (OpenAndCloseChannels());
  TellObserver();
  if (was_searching || !search_.Registrar()) search_changed_.notify_all();
}

// Returns whether the search has learnt something from it.
bool control_client::OpenAndCloseChannels() {
  bool has_learnt = false;
  for (const auto& each : channels_) {
    const bool is_open = search_.IsOpen(each->Link().Peer());
    if (each->IsOpen() == is_open) continue;
    each->SetOpen(is_open, *fibers_);
    // A connection that serves requests has been open before.
    if (!is_open || !each->Link().IsUp() || !each->IsCurrent()) continue;
    search_.OnOffer(each->Link().Peer(), *each->IsCurrent(), clock_.Now());
    has_learnt = true;
  }
  return has_learnt;
}

void control_client::TellObserver() {
  if (told_registrar_ == search_.Registrar()) return;
  if (told_registrar_ && !search_.Registrar()) observer_->OnRegistrarDown();
  told_registrar_ = search_.Registrar();
  if (told_registrar_) observer_->OnRegistrarUp();
}

std::shared_ptr<control_client::channel> control_client::RegistrarChannel()
    const {
  const auto found = std::ranges::find_if(channels_, [this](const auto& each) {
    return search_.Registrar() == each->Link().Peer();
  });
  return found == channels_.end() ? nullptr : *found;
}

void control_client::HandleOffer(const channel& source, bool is_current) {
  if (observer_ == nullptr) return;
  search_.OnOffer(source.Link().Peer(), is_current, clock_.Now());
  ApplySearch();
}

void control_client::HandleDown(const channel& source) {
  if (observer_ == nullptr) return;
  search_.OnDown(source.Link().Peer(), clock_.Now());
  ApplySearch();
}

void control_client::HandlePush(const channel& source, message content) {
  if (observer_ == nullptr) return;
  if (search_.Registrar() != source.Link().Peer()) return;
  observer_->OnRegistrarMessage(std::move(content));
}

std::uint64_t control_client::TotalBytes() const {
  return std::transform_reduce(
      channels_.begin(), channels_.end(), retired_bytes_, std::plus<>(),
      [](const auto& each) { return each->Link().TotalBytes(); });
}

}  // namespace hornbeam
