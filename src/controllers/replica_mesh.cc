#include "controllers/replica_mesh.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "replication/replica_options.h"
#include "routing/routing_store.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

// Limit on links, well above the number of control VMs of a deployment.
constexpr std::size_t kMaxLinks = 64;
// What a message adds to the command or table that it carries.
constexpr std::size_t kMaxEnvelopeBytes = 64UL * 1024;
static_assert(kMaxCommandBytes + kMaxEnvelopeBytes <= kMaxFrameBytes);
static_assert(routing_store::kMaxTableBytes + kMaxEnvelopeBytes <=
              kMaxFrameBytes);

}  // namespace

// Receives the replies to store requests. Other messages of the peers arrive on
// the links that the peers opened themselves.
class replica_mesh::reply_observer final : public link_observer {
 public:
  void OnLinkUp() override {}
  void OnLinkMessage(message content) override {
    auto* reply = std::get_if<store_reply>(&content);
    if (reply != nullptr && on_reply) on_reply(std::move(*reply));
  }
  void OnLinkDown() override {}

  std::function<void(store_reply)> on_reply;
};

class replica_mesh::mesh_transport final : public replica_transport {
 public:
  mesh_transport(replica_mesh& mesh, store_id store)
      : mesh_(mesh), store_(store) {}

  void Send(std::string_view peer, std::string bytes) override {
    mesh_.Send(peer,
               replica_envelope{.store = store_, .bytes = std::move(bytes)});
  }

 private:
  replica_mesh& mesh_;
  const store_id store_;
};

replica_mesh::replica_mesh(io_loop& loop, const clock_source& clock,
                           const process_identity& self,
                           const endpoint& own_address,
                           std::span<const endpoint> control_addresses)
    : loop_(loop),
      clock_(clock),
      sender_{own_address.ToString(), self.incarnation},
      observer_(std::make_unique<reply_observer>()) {
  for (const endpoint& address : control_addresses) {
    configured_.push_back(address.ToString());
    if (address != own_address) AddLink(address.ToString());
  }
}

replica_mesh::~replica_mesh() = default;

void replica_mesh::Start(fiber_group& fibers) {
  fibers_ = &fibers;
  for (const auto& link : links_) link->Start(fibers);
}

void replica_mesh::Stop() {
  for (const auto& link : links_) link->Stop();
}

void replica_mesh::Broadcast(const message& content) {
  for (const auto& link : links_) link->TrySend(content);
}

std::unique_ptr<replica_transport> replica_mesh::MakeTransport(store_id store) {
  return std::make_unique<mesh_transport>(*this, store);
}

std::size_t replica_mesh::ConnectedPeers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      links_, [](const auto& link) { return link->IsUp(); }));
}

std::uint64_t replica_mesh::TotalBytes() const {
  return std::transform_reduce(
      links_.begin(), links_.end(), retired_bytes_, std::plus<>(),
      [](const auto& link) { return link->TotalBytes(); });
}

void replica_mesh::SetPeers(std::span<const std::string> peers) {
  for (auto& link : links_) {
    const std::string peer = link->Peer().ToString();
    const bool is_kept =
        std::ranges::find(peers, peer) != peers.end() ||
        std::ranges::find(configured_, peer) != configured_.end();
    // One that is connected may be about to join, or to hand over and leave, or
    // this control VM's list is old.
    if (!is_kept && !link->IsUp()) retired_.push_back(std::move(link));
  }
  std::erase(links_, nullptr);
  for (const auto& link : retired_) link->Stop();
  std::erase_if(retired_, [this](const auto& link) {
    if (!link->HasEnded()) return false;
    retired_bytes_ += link->TotalBytes();
    return true;
  });
  for (const std::string& peer : peers) {
    if (FindLink(peer) == nullptr) AddLink(peer);
  }
}

message_link* replica_mesh::FindLink(std::string_view peer) {
  const auto found = std::ranges::find_if(links_, [peer](const auto& link) {
    return link->Peer().ToString() == peer;
  });
  return found == links_.end() ? nullptr : found->get();
}

message_link* replica_mesh::AddLink(std::string_view peer) {
  const auto address = endpoint::Parse(peer);
  if (!address || peer == sender_.name) return nullptr;
  if (links_.size() >= kMaxLinks) return nullptr;
  links_.push_back(std::make_unique<message_link>(
      loop_, clock_, sender_, *address, connection_purpose::kReplica,
      message_link_options{}, *observer_));
  if (fibers_ != nullptr) links_.back()->Start(*fibers_);
  return links_.back().get();
}

bool replica_mesh::Send(std::string_view peer, const message& content) {
  message_link* link = FindLink(peer);
  if (link == nullptr) link = AddLink(peer);
  return link != nullptr && link->TrySend(content);
}

void replica_mesh::OnStoreReply(std::function<void(store_reply)> handler) {
  observer_->on_reply = std::move(handler);
}

}  // namespace hornbeam
