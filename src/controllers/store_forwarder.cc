#include "controllers/store_forwarder.h"

#include <utility>

#include "controllers/replica_mesh.h"

namespace hornbeam {

store_forwarder::store_forwarder(const clock_source& clock, replica_mesh& mesh)
    : clock_(clock), mesh_(mesh) {
  mesh_.OnStoreReply(
      [this](store_reply reply) { HandleReply(std::move(reply)); });
}

store_forwarder::~store_forwarder() { mesh_.OnStoreReply(nullptr); }

bool store_forwarder::Forward(const std::string& leader, store_request request,
                              reply_handler on_reply) {
  const std::uint64_t correlation = next_correlation_++;
  forwarded_request entry{.on_reply = std::move(on_reply),
                          .correlation = request.correlation,
                          .deadline = clock_.Now() + std::chrono::microseconds(
                                                         request.deadline_us)};
  request.correlation = correlation;
  // A request is forwarded only once, so that it cannot loop.
  request.may_forward = false;
  if (!mesh_.Send(leader, request)) return false;
  forwarded_.emplace(correlation, std::move(entry));
  return true;
}

void store_forwarder::Expire() {
  const time_point now = clock_.Now();
  std::erase_if(forwarded_, [now](const auto& entry) {
    return entry.second.deadline <= now;
  });
}

void store_forwarder::HandleReply(store_reply reply) {
  const auto found = forwarded_.find(reply.correlation);
  if (found == forwarded_.end()) return;
  const forwarded_request entry = std::move(found->second);
  forwarded_.erase(found);
  reply.correlation = entry.correlation;
  entry.on_reply(std::move(reply));
}

}  // namespace hornbeam
