// Channel of control_client, for its own source files only.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "hornbeam/clock_source.h"
#include "io/fiber_signal.h"
#include "wire/control_client.h"
#include "wire/message_link.h"

namespace hornbeam {

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
  // Time for which a control VM that did not reply is avoided.
  static constexpr duration kSuspectDuration = std::chrono::seconds(5);
  // Time before a lost registrar is tried again.
  static constexpr duration kLostRegistrarDelay = std::chrono::seconds(3);

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

}  // namespace hornbeam
