#include "wire/control_client.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <numeric>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/microseconds.h"
#include "io/fiber_group.h"
#include "io/fiber_signal.h"
#include "io/io_loop.h"
#include "wire/frame_codec.h"
#include "wire/message_link.h"

namespace hornbeam {

namespace {

// Delay between two rounds over all control VMs while no leader is known.
constexpr duration kRoundDelay = std::chrono::milliseconds(25);
// Time for which a control VM that did not reply is avoided.
constexpr duration kSuspectDuration = std::chrono::seconds(5);
// Time before a lost registrar is tried again.
constexpr duration kLostRegistrarDelay = std::chrono::seconds(3);
// Limit of known control VMs, including those that have been replaced.
constexpr std::size_t kMaxChannels = 64;
// A larger request does not fit into one message.
constexpr std::size_t kMaxRequestBytes = kMaxFrameBytes - 64UL * 1024;
// Time limit for the reply of one control VM, before another one is tried.
constexpr duration kAttemptTimeout = std::chrono::milliseconds(1500);

}  // namespace

// The connection to one control VM and the requests that are pending on it.
class control_client::channel final : public link_observer {
 public:
  channel(io_loop& loop, const clock_source& clock,
          const process_identity& self, const endpoint& peer,
          control_client& owner, duration silence_timeout)
      : owner_(owner),
        link_(loop, clock, self, peer, connection_purpose::kControl,
              message_link_options{.silence_timeout = silence_timeout}, *this) {
  }

  message_link& Link() { return link_; }
  [[nodiscard]] const message_link& Link() const { return link_; }

  // Starts the link on first use, since most processes use few control VMs.
  void EnsureStarted(fiber_group& fibers) {
    link_.Resume();
    if (started_) return;
    started_ = true;
    link_.Start(fibers);
  }

  // Keeps the connection open for requests even if it is not the registrar's.
  void ServeRequests() { serves_requests_ = true; }

  // Closes the connection until its next use, unless it serves requests.
  void Suspend() {
    if (!serves_requests_) link_.Suspend();
  }
  // A recently lost registrar is skipped while there is another one.
  void MarkLost(time_point now) { lost_at_ = now; }
  [[nodiscard]] bool IsLost(time_point now) const {
    return lost_at_ && now - *lost_at_ < kLostRegistrarDelay;
  }

  void SetFibers(fiber_group& fibers) { fibers_ = &fibers; }
  fiber_group& Fibers() { return *fibers_; }

  // Avoids the control VM for kSuspectDuration unless `replied` is true.
  void RecordReply(bool replied, time_point now) {
    suspect_until_ = replied ? time_point() : now + kSuspectDuration;
  }
  [[nodiscard]] bool IsSuspect(time_point now) const {
    return now < suspect_until_;
  }

  // Sends `request` and waits for the message with its correlation. The error
  // kUnreachable means that nothing was sent.
  result<message, store_error> Exchange(std::uint64_t correlation,
                                        const message& request,
                                        time_point deadline) {
    EnsureStarted(*fibers_);
    if (!link_.IsUp() && !link_.WaitUp(deadline)) {
      return store_error::kUnreachable;
    }
    fiber_signal<result<message, store_error>> reply;
    if (!link_.TrySend(request)) return store_error::kUnreachable;
    waiting_.emplace(correlation, &reply);
    auto* received = reply.WaitUntil(deadline);
    waiting_.erase(correlation);
    if (received == nullptr) return store_error::kTimeout;
    return std::move(*received);
  }

  void OnLinkUp() override { owner_.HandleUp(*this); }

  void OnLinkMessage(message content) override {
    if (const auto* reply = std::get_if<store_reply>(&content)) {
      Complete(reply->correlation, std::move(content));
    } else if (const auto* status = std::get_if<status_reply>(&content)) {
      Complete(status->correlation, std::move(content));
    } else {
      owner_.HandlePush(*this, std::move(content));
    }
  }

  void OnLinkDown() override {
    for (const auto& [correlation, reply] : waiting_) {
      reply->Set(store_error::kTimeout);
    }
    owner_.HandleDown(*this);
  }

 private:
  void Complete(std::uint64_t correlation, message content) {
    const auto found = waiting_.find(correlation);
    if (found != waiting_.end()) found->second->Set(std::move(content));
  }

  control_client& owner_;
  fiber_group* fibers_ = nullptr;
  bool started_ = false;
  bool serves_requests_ = false;
  std::optional<time_point> lost_at_;
  time_point suspect_until_;
  std::unordered_map<std::uint64_t, fiber_signal<result<message, store_error>>*>
      waiting_;
  message_link link_;
};

// Outcome of sending a request to one control VM.
struct control_client::attempt {
  store_status status = store_status::kTimeout;
  bool sent = false;
  std::string bytes;
  std::string leader_address;
};

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

result<std::string, store_error> control_client::Propose(
    store_id store, std::string_view command, time_point deadline) {
  return Request(store, store_operation::kPropose, command, deadline);
}

result<std::string, store_error> control_client::Query(store_id store,
                                                       std::string_view query,
                                                       time_point deadline) {
  return Request(store, store_operation::kQuery, query, deadline);
}

result<std::string, store_error> control_client::Request(
    store_id store, store_operation operation, std::string_view bytes,
    time_point deadline) {
  if (bytes.size() > kMaxRequestBytes) return store_error::kRejected;
  if (store == store_id::kRouting)
    return RequestFromRegistrar(operation, bytes, deadline);
  store_request request{
      .store = store, .operation = operation, .bytes = std::string(bytes)};
  store_error last = store_error::kUnreachable;
  std::size_t attempts = 0;
  while (clock_.Now() < deadline) {
    request.correlation = next_correlation_++;
    request.may_forward = SkipSuspects(store);
    channel& leader = *channels_[LeaderOf(store)];
    leader.ServeRequests();
    attempt reply = TryOnce(leader, request, deadline);
    if (reply.status == store_status::kDone) return std::move(reply.bytes);
    if (reply.status == store_status::kRejected) return store_error::kRejected;
    // Queries can be repeated; proposals only if certainly not accepted.
    const bool may_be_accepted =
        reply.sent && reply.status == store_status::kTimeout;
    if (may_be_accepted && operation == store_operation::kPropose) {
      AdvanceLeader(store);
      return store_error::kTimeout;
    }
    if (reply.sent) last = store_error::kNoQuorum;
    if (reply.leader_address.empty()) {
      AdvanceLeader(store);
    } else {
      FollowLeader(store, reply.leader_address);
    }
    if (++attempts % channels_.size() == 0) io_loop::SleepFor(kRoundDelay);
  }
  return last;
}

result<std::string, store_error> control_client::RequestFromRegistrar(
    store_operation operation, std::string_view bytes, time_point deadline) {
  store_request request{.store = store_id::kRouting,
                        .operation = operation,
                        .may_forward = true,
                        .bytes = std::string(bytes)};
  store_error last = store_error::kUnreachable;
  while (!stopped_ && clock_.Now() < deadline) {
    channel& registrar = *channels_[registrar_];
    if (registrar.Link().IsUp()) {
      request.correlation = next_correlation_++;
      attempt reply = TryOnce(registrar, request, deadline);
      if (reply.status == store_status::kDone) return std::move(reply.bytes);
      if (reply.status == store_status::kRejected)
        return store_error::kRejected;
      const bool may_be_accepted =
          reply.sent && reply.status == store_status::kTimeout;
      if (may_be_accepted && operation == store_operation::kPropose)
        return store_error::kTimeout;
      if (reply.sent) last = store_error::kNoQuorum;
    }
    io_loop::SleepFor(kRoundDelay);
  }
  return last;
}

control_client::attempt control_client::TryOnce(channel& target,
                                                const store_request& request,
                                                time_point deadline) {
  store_request sent = request;
  const time_point now = clock_.Now();
  const time_point limit = std::min(deadline, now + kAttemptTimeout);
  sent.deadline_us = ToMicroseconds(limit - now);
  auto reply = target.Exchange(request.correlation, sent, limit);
  target.RecordReply(reply.has_value(), clock_.Now());
  if (!reply) {
    return attempt{.status = store_status::kTimeout,
                   .sent = reply.error() != store_error::kUnreachable};
  }
  auto& content = std::get<store_reply>(reply.value());
  return attempt{.status = content.status,
                 .sent = true,
                 .bytes = std::move(content.bytes),
                 .leader_address = std::move(content.leader_address)};
}

result<status_reply, store_error> control_client::Status(std::size_t index,
                                                         time_point deadline) {
  const status_request request{.correlation = next_correlation_++};
  channel& asked = *channels_.at(index);
  asked.ServeRequests();
  auto reply = asked.Exchange(request.correlation, request, deadline);
  if (!reply) return reply.error();
  return std::get<status_reply>(std::move(reply).value());
}

void control_client::FollowLeader(store_id store, const std::string& address) {
  const auto found =
      std::ranges::find(channels_, address, [](const auto& candidate) {
        return candidate->Link().Peer().ToString();
      });
  if (found == channels_.end()) {
    AdvanceLeader(store);
    return;
  }
  LeaderOf(store) = static_cast<std::size_t>(found - channels_.begin());
}

// Moves from a control VM that did not reply recently to one that may forward
// the request. Returns true if any is avoided, as it may be the leader.
bool control_client::SkipSuspects(store_id store) {
  const time_point now = clock_.Now();
  const auto is_suspect = [now](const auto& each) {
    return each->IsSuspect(now);
  };
  if (std::ranges::none_of(channels_, is_suspect)) return false;
  if (std::ranges::all_of(channels_, is_suspect)) return true;
  while (channels_[LeaderOf(store)]->IsSuspect(now)) AdvanceLeader(store);
  return true;
}

void control_client::AdvanceLeader(store_id store) {
  std::size_t& leader = LeaderOf(store);
  leader = (leader + 1) % channels_.size();
}

std::size_t& control_client::LeaderOf(store_id store) {
  return store == store_id::kSettings ? settings_leader_ : ledger_leader_;
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
