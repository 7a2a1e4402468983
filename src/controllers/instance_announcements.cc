// Announcements and withdrawals of a node's upstream.
#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <utility>

#include "base/event_log.h"
#include "controllers/instance_server.h"
#include "controllers/upstream_lifecycle.h"
#include "io/io_loop.h"

namespace hornbeam {

namespace {

// Upstreams slow down when nearly all of their slots are taken; up to this
// share they work at full speed.
constexpr double kFullSpeedShare = 0.8;
// Longer names of instances and services are rejected; they travel in every
// lease and load report, and ids are recorded with departures.
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kHealthAnswerBytes = 64UL * 1024;
constexpr std::string_view kEarlierIncarnation =
    "it is of an earlier incarnation of this instance";
constexpr std::string_view kInvalidInstance =
    "the instance's id is empty or too long";

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

}  // namespace

std::optional<std::string_view> instance_server::RejectionReason(
    const instance_withdrawal& withdrawn) const {
  if (!IsValidName(withdrawn.instance)) return kInvalidInstance;
  if (IsEarlierIncarnation(withdrawn.instance, withdrawn.started_at_ms))
    return kEarlierIncarnation;
  return std::nullopt;
}

bool instance_server::IsEarlierIncarnation(std::string_view instance,
                                           std::int64_t started_at_ms) const {
  return upstream_ && upstream_->announced.instance == instance &&
         started_at_ms != 0 &&
         started_at_ms < upstream_->announced.started_at_ms;
}

std::optional<std::string_view> instance_server::RejectionReason(
    const instance_announcement& announced) const {
  if (!IsValidName(announced.instance)) return kInvalidInstance;
  if (announced.service.size() > kMaxNameBytes)
    return "the service's name is too long";
  const auto address = endpoint::Parse(announced.address);
  if (!address || address->port == 0)
    return "the address is no IP number with a port";
  if (options_.upstream && *address != *options_.upstream)
    return "the address is not that of this node's upstream";
  const bool is_known = announced.service == options_.service ||
                        (options_.is_known_service &&
                         options_.is_known_service(announced.service));
  if (!is_known) return "the service is unknown";
  if (IsEarlierIncarnation(announced.instance, announced.started_at_ms))
    return kEarlierIncarnation;
  return std::nullopt;
}

bool instance_server::AnnounceDurably(const instance_announcement& announced,
                                      time_point deadline) {
  departures_.WaitLoaded(deadline);
  Announce(announced);
  if (!departures_.IsLoaded()) return false;
  if (!announced.draining) return true;
  // Also where the announcement was not applied: what is acknowledged holds.
  return WithdrawDurably({.instance = announced.instance,
                          .started_at_ms = announced.started_at_ms},
                         deadline);
}

bool instance_server::WithdrawDurably(const instance_withdrawal& withdrawn,
                                      time_point deadline) {
  Withdraw(withdrawn);
  return departures_.Confirm(withdrawn.instance, deadline);
}

void instance_server::HoldAnnouncement(const instance_announcement& announced) {
  const auto age = [](const instance_announcement& each) {
    return std::tuple(each.started_at_ms, each.sequence);
  };
  if (!held_announcement_ || age(*held_announcement_) < age(announced))
    held_announcement_ = announced;
}

void instance_server::Announce(const instance_announcement& announced) {
  if (RejectionReason(announced)) return;
  if (!departures_.IsLoaded()) {
    HoldAnnouncement(announced);
    return;
  }
  if (IsStale(announced)) {
    log_.Write(event_id::kAnnouncementRejected,
               {{"instance", announced.instance},
                {"started_at_ms", announced.started_at_ms},
                {"sequence", announced.sequence},
                {"reason", "a later incarnation is known, or it has left"}});
    if (MayBeLaterIncarnation(announced)) HoldAnnouncement(announced);
    return;
  }
  const bool is_same_id =
      upstream_ && upstream_->announced.instance == announced.instance;
  const bool is_first_announcement =
      is_same_id && upstream_->found_by_health_check;
  // An upstream that was found by a health check and has left since then is an
  // earlier incarnation than one that announces itself as ready.
  const bool follows_departure =
      is_first_announcement && upstream_->drained && !announced.draining;
  const bool is_same =
      is_same_id && !follows_departure &&
      (is_first_announcement ||
       upstream_->announced.started_at_ms == announced.started_at_ms);
  if (!is_same) {
    ReplaceUpstream(announced);
    return;
  }
  const bool is_newer = announced.sequence > upstream_->announced.sequence;
  if (!is_first_announcement && !is_newer) return;
  upstream_->found_by_health_check = false;
  upstream_->cold_until = clock_.Now() + announced.cold_start_remaining;
  const bool drains = announced.draining && !upstream_->drained;
  upstream_->announced = announced;
  if (drains) DrainUpstream(*upstream_);
}

// An incarnation of another id that started earlier is stale unless it answers
// the health checks: then the later announcement was wrong.
bool instance_server::IsStale(const instance_announcement& announced) const {
  if (HasLeft(announced)) return true;
  if (!upstream_) return false;
  return announced.started_at_ms < upstream_->announced.started_at_ms &&
         AnsweringInstance() != announced.instance;
}

// Returns whether the announcement counts once the upstream's health check
// answers for its instance; see HasLeft.
bool instance_server::MayBeLaterIncarnation(
    const instance_announcement& announced) const {
  const auto departure = departures_.Find(announced.instance);
  return departure && !departure->start_known &&
         announced.started_at_ms > departure->started_at_ms;
}

void instance_server::ApplyProvedAnnouncement() {
  const bool is_proved =
      held_announcement_ && held_announcement_->instance == AnsweringInstance();
  if (is_proved) ApplyHeldAnnouncement();
}

void instance_server::ApplyHeldAnnouncement() {
  const auto held = std::exchange(held_announcement_, std::nullopt);
  if (held) Announce(*held);
}

// If the start of the incarnation that left is not known, only the upstream's
// own health check shows that a later one is another.
bool instance_server::HasLeft(const instance_announcement& announced) const {
  const auto departure = departures_.Find(announced.instance);
  if (!departure) return false;
  if (announced.started_at_ms <= departure->started_at_ms) return true;
  const bool is_in_service =
      upstream_ && !upstream_->drained &&
      upstream_->announced.instance == announced.instance &&
      upstream_->announced.started_at_ms == announced.started_at_ms;
  if (is_in_service) return false;
  return !departure->start_known && AnsweringInstance() != announced.instance;
}

std::string_view instance_server::AnsweringInstance() const {
  return upstream_ ? upstream_->answering_instance : found_instance_;
}

void instance_server::ReplaceUpstream(const instance_announcement& announced) {
  const auto address = endpoint::Parse(announced.address);
  if (!address) return;
  if (upstream_)
    upstream_->Notify(upstream_->queue.Clear(), wait_result::kDrained);
  upstream_ = std::make_shared<upstream_lifecycle>();
  upstream_->announced = announced;
  upstream_->cold_until = clock_.Now() + announced.cold_start_remaining;
  upstream_->address = *address;
  upstream_->client = http_client::MakeHttpClient(
      loop_, address->host, address->port,
      http_client_options{
          .answer_limit_bytes = options_.answer_limit_bytes,
          .total_answer_limit_bytes = options_.total_answer_limit_bytes,
          .echoed_field = std::string(codec_.EchoedField())},
      clock_);
  upstream_->health_client = MakeHealthClient(*address);
  const auto limit =
      static_cast<std::uint32_t>(std::floor(kFullSpeedShare * announced.slots));
  upstream_->queue.SetLimits(std::max(limit, 1U), announced.slots);
  upstream_->drained = announced.draining;
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", announced.instance},
              {"service", announced.service},
              {"state", announced.draining ? "draining" : "ready"},
              {"started_at_ms", announced.started_at_ms}});
  on_change_(announced, announced.draining);
}

std::unique_ptr<http_client> instance_server::MakeHealthClient(
    const endpoint& address) {
  return http_client::MakeHttpClient(
      loop_, address.host, address.port,
      http_client_options{.answer_limit_bytes = kHealthAnswerBytes,
                          .total_answer_limit_bytes = kHealthAnswerBytes},
      clock_);
}

void instance_server::Withdraw(const instance_withdrawal& withdrawn) {
  if (RejectionReason(withdrawn)) return;
  const bool is_known =
      upstream_ && upstream_->announced.instance == withdrawn.instance &&
      (withdrawn.started_at_ms == 0 ||
       withdrawn.started_at_ms >= upstream_->announced.started_at_ms);
  const std::int64_t started_at_ms = is_known && withdrawn.started_at_ms == 0
                                         ? upstream_->announced.started_at_ms
                                         : withdrawn.started_at_ms;
  departures_.Add(withdrawn.instance, started_at_ms,
                  withdrawn.started_at_ms != 0);
  ++departure_count_;
  found_instance_.clear();
  if (is_known && !upstream_->drained) DrainUpstream(*upstream_);
}

void instance_server::DrainUpstream(upstream_lifecycle& upstream) {
  upstream.drained = true;
  // From now on only an upstream that does not leave counts.
  upstream.answering_instance.clear();
  ++departure_count_;
  upstream.Notify(upstream.queue.Clear(), wait_result::kDrained);
  log_.Write(event_id::kUpstreamStateChanged,
             {{"instance", upstream.announced.instance},
              {"service", upstream.announced.service},
              {"state", "draining"},
              {"running", upstream.queue.Running()}});
  on_change_(upstream.announced, true);
}

}  // namespace hornbeam
