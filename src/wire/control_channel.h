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

  // Returns whether the registrar_search uses the connection.
  [[nodiscard]] bool IsOpen() const { return is_open_; }
  // Opens or closes the connection for the registrar_search.
  void SetOpen(bool is_open, fiber_group& fibers) {
    is_open_ = is_open;
    if (is_open) {
      EnsureStarted(fibers);
    } else {
      Suspend();
    }
  }
  // Returns what the control VM last said on the current connection.
  [[nodiscard]] std::optional<bool> IsCurrent() const { return is_current_; }

  // Ends the connection for good.
  void Stop() { link_.Stop(); }
  // Returns whether the channel may be destroyed, but for pending requests.
  [[nodiscard]] bool HasEnded() const { return !started_ || link_.HasEnded(); }

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

  void OnLinkUp() override {}

  void OnLinkMessage(message content) override {
    if (const auto* reply = std::get_if<store_reply>(&content)) {
      Complete(reply->correlation, std::move(content));
    } else if (const auto* status = std::get_if<status_reply>(&content)) {
      Complete(status->correlation, std::move(content));
    } else if (const auto* offer = std::get_if<registrar_offer>(&content)) {
      is_current_ = offer->is_current;
      owner_.HandleOffer(*this, offer->is_current);
    } else {
      owner_.HandlePush(*this, std::move(content));
    }
  }

  void OnLinkDown() override {
    for (const auto& [correlation, reply] : waiting_) {
      reply->Set(store_error::kTimeout);
    }
    is_current_.reset();
    owner_.HandleDown(*this);
  }

 private:
  // Time for which a control VM that did not reply is avoided.
  static constexpr duration kSuspectDuration = std::chrono::seconds(5);

  // Closes the connection until its next use, unless it serves requests.
  void Suspend() {
    if (!serves_requests_) link_.Suspend();
  }

  void Complete(std::uint64_t correlation, message content) {
    const auto found = waiting_.find(correlation);
    if (found != waiting_.end()) found->second->Set(std::move(content));
  }

  control_client& owner_;
  fiber_group* fibers_ = nullptr;
  bool started_ = false;
  bool serves_requests_ = false;
  bool is_open_ = false;
  std::optional<bool> is_current_;
  time_point suspect_until_;
  std::unordered_map<std::uint64_t, fiber_signal<result<message, store_error>>*>
      waiting_;
  message_link link_;
};

}  // namespace hornbeam
