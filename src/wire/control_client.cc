#include "wire/control_client.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <numeric>
#include <optional>
#include <utility>

#include "io/fiber_group.h"
#include "wire/control_channel.h"
#include "wire/message_link.h"

namespace hornbeam {

namespace {

// Limit of known control VMs, including those that have been replaced.
constexpr std::size_t kMaxChannels = 64;

}  // namespace

std::unique_ptr<control_client> control_client::MakeControlClient(
    io_loop& loop, const clock_source& clock, const process_identity& self,
    std::span<const endpoint> addresses, std::size_t first_registrar,
    control_observer* observer, duration silence_timeout) {
  assert(!addresses.empty());
  auto client = std::unique_ptr<control_client>(
      new control_client(loop, clock, self, first_registrar % addresses.size(),
                         observer, silence_timeout));
  for (const endpoint& address : addresses) client->AddChannel(address);
  return client;
}

control_client::control_client(io_loop& loop, const clock_source& clock,
                               process_identity self,
                               std::size_t first_registrar,
                               control_observer* observer,
                               duration silence_timeout)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      observer_(observer),
      silence_timeout_(silence_timeout),
      registrar_(first_registrar),
      settings_leader_(first_registrar),
      ledger_leader_(first_registrar) {}

void control_client::AddChannel(const endpoint& address) {
  channels_.push_back(std::make_unique<channel>(loop_, clock_, self_, address,
                                                *this, silence_timeout_));
  if (fibers_ != nullptr) channels_.back()->SetFibers(*fibers_);
}

bool control_client::AddAddresses(std::span<const endpoint> addresses) {
  const std::size_t before = channels_.size();
  for (const endpoint& address : addresses) {
    const bool is_known =
        std::ranges::any_of(channels_, [&address](const auto& each) {
          return each->Link().Peer() == address;
        });
    if (!is_known && channels_.size() < kMaxChannels) AddChannel(address);
  }
  return channels_.size() > before;
}

control_client::~control_client() = default;

void control_client::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  for (const auto& each : channels_) each->SetFibers(fibers);
  if (observer_ != nullptr) channels_[registrar_]->EnsureStarted(fibers);
}

void control_client::Stop() {
  stopped_ = true;
  for (const auto& each : channels_) each->Link().Stop();
}

const endpoint& control_client::Registrar() const {
  return channels_[registrar_]->Link().Peer();
}

bool control_client::IsRegistered(const endpoint& address) const {
  return Registrar() == address && channels_[registrar_]->Link().IsUp();
}

bool control_client::SendToRegistrar(const message& content) {
  return channels_[registrar_]->Link().TrySend(content);
}

void control_client::PreferRegistrars(std::span<const endpoint> addresses) {
  preferred_.assign(addresses.begin(), addresses.end());
  if (preferred_.empty()) return;
  // Distributes the nodes of a zone evenly over its control VMs.
  const std::size_t first =
      std::hash<std::string>()(self_.name) % preferred_.size();
  std::ranges::rotate(preferred_,
                      preferred_.begin() + static_cast<std::ptrdiff_t>(first));
  SelectPreferredRegistrar();
}

// Returns the index of the first preferred control VM not lost recently.
std::optional<std::size_t> control_client::AvailablePreferred() const {
  const time_point now = clock_.Now();
  for (const endpoint& address : preferred_) {
    const auto found =
        std::ranges::find_if(channels_, [&address](const auto& each) {
          return each->Link().Peer() == address;
        });
    if (found == channels_.end() || (*found)->IsLost(now)) continue;
    return static_cast<std::size_t>(found - channels_.begin());
  }
  return std::nullopt;
}

void control_client::SelectPreferredRegistrar() {
  if (fibers_ == nullptr || observer_ == nullptr) return;
  const endpoint& current = channels_[registrar_]->Link().Peer();
  if (std::ranges::find(preferred_, current) != preferred_.end()) return;
  const auto available = AvailablePreferred();
  if (!available) return;
  channels_[*available]->EnsureStarted(*fibers_);
  if (channels_[*available]->Link().IsUp()) MoveToRegistrar(*available);
}

std::size_t control_client::NextRegistrar() const {
  if (const auto available = AvailablePreferred()) return *available;
  const time_point now = clock_.Now();
  for (std::size_t step = 1; step < channels_.size(); ++step) {
    const std::size_t index = (registrar_ + step) % channels_.size();
    if (!channels_[index]->IsLost(now)) return index;
  }
  return (registrar_ + 1) % channels_.size();
}

// Closes the other connections, since each would cost heartbeats.
void control_client::MoveToRegistrar(std::size_t index) {
  registrar_ = index;
  for (std::size_t each = 0; each < channels_.size(); ++each) {
    if (each != registrar_) channels_[each]->Suspend();
  }
  observer_->OnRegistrarUp();
}

void control_client::HandleUp(const channel& source) {
  if (observer_ == nullptr) return;
  const auto found = std::ranges::find(
      channels_, &source, [](const auto& each) { return each.get(); });
  const auto index = static_cast<std::size_t>(found - channels_.begin());
  const endpoint& address = source.Link().Peer();
  const bool is_preferred =
      std::ranges::find(preferred_, address) != preferred_.end();
  const bool has_other_registrar =
      index != registrar_ && channels_[registrar_]->Link().IsUp();
  const endpoint& current = channels_[registrar_]->Link().Peer();
  const bool registrar_is_preferred =
      std::ranges::find(preferred_, current) != preferred_.end();
  if (has_other_registrar && (!is_preferred || registrar_is_preferred)) return;
  MoveToRegistrar(index);
}

void control_client::HandleDown(channel& source) {
  const bool is_registrar = channels_[registrar_].get() == &source;
  if (observer_ == nullptr) return;
  if (!source.Link().IsSuspended()) source.MarkLost(clock_.Now());
  if (!is_registrar) return;
  observer_->OnRegistrarDown();
  // Otherwise a lost control VM that accepts connections would be up again
  // before the next one has answered, or is known not to.
  source.Suspend();
  registrar_ = NextRegistrar();
  channels_[registrar_]->EnsureStarted(channels_[registrar_]->Fibers());
  if (channels_[registrar_]->Link().IsUp()) MoveToRegistrar(registrar_);
}

void control_client::HandlePush(const channel& source, message content) {
  const bool is_registrar = channels_[registrar_].get() == &source;
  if (is_registrar && observer_ != nullptr) {
    observer_->OnRegistrarMessage(std::move(content));
  }
}

std::uint64_t control_client::TotalBytes() const {
  return std::transform_reduce(
      channels_.begin(), channels_.end(), std::uint64_t{0}, std::plus<>(),
      [](const auto& each) { return each->Link().TotalBytes(); });
}

}  // namespace hornbeam
