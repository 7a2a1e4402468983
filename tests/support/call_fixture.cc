#include "support/call_fixture.h"

#include <utility>

namespace hornbeam {

namespace {

constexpr duration kWaitLimit = std::chrono::seconds(30);
constexpr duration kSilenceTimeout = std::chrono::milliseconds(200);
constexpr duration kPollInterval = std::chrono::milliseconds(2);

}  // namespace

call_fixture::call_fixture(io_loop& loop, const call_server_options& options)
    : loop_(loop), server_options_(options) {
  StartServer(kServerIncarnation, 0);
  relay = silent_relay::MakeSilentRelay("127.0.0.1:0",
                                        listener_->Address().ToString());
  link = std::make_unique<call_link>(
      loop_, clock, log_, process_identity{"ingress", 1},
      *endpoint::Parse(relay->Address()), connection_purpose::kShortCalls,
      call_link_options{.silence_timeout = kSilenceTimeout});
  link->Start(fibers);
}

call_fixture::~call_fixture() {
  released = true;
  link->Stop();
  listener_->Stop();
  server_->Stop();
  for (const auto& former : former_servers_) former->Stop();
  fibers.WaitEmpty(clock.Now() + kWaitLimit);
}

void call_fixture::StartServer(std::uint64_t incarnation, std::uint16_t port) {
  server_ = std::make_unique<call_server>(
      clock, log_, process_identity{"server", incarnation}, service, fibers,
      server_options_);
  listener_ = frame_listener::MakeFrameListener(
      loop_, endpoint{"127.0.0.1", port}, clock);
  listener_->Start(*server_, fibers);
}

void call_fixture::HoldCalls(const std::string& target) {
  service.on_serve = [this, target](const inbound_call& call) {
    while (call.start.target == target && !released) {
      io_loop::SleepFor(kPollInterval);
    }
  };
}

void call_fixture::RestartServer() {
  const std::uint16_t port = listener_->Address().port;
  listener_->Stop();
  server_->Stop();
  former_servers_.push_back(std::move(server_));
  former_listeners_.push_back(std::move(listener_));
  StartServer(kServerIncarnation + 1, port);
}

call_result call_fixture::Call(const std::string& target,
                               const std::string& body, duration timeout) {
  const call_start start{
      .id = request_id{1, next_id_++},
      .service = "guichet",
      .method = "POST",
      .target = target,
      .body_size = body.size(),
      .deadline_us = static_cast<std::uint64_t>(timeout.count()),
      .incarnation = kServerIncarnation};
  return link->Call(start, body, clock.Now() + timeout, cancel);
}

void call_fixture::StartCall(const std::string& target, call_result& result) {
  fibers.Start([this, target, &result] { result = Call(target); });
}

bool call_fixture::WaitFor(const std::function<bool()>& condition) {
  const time_point limit = clock.Now() + kWaitLimit;
  while (!condition()) {
    if (clock.Now() >= limit) return false;
    io_loop::SleepFor(kPollInterval);
  }
  return true;
}

}  // namespace hornbeam
