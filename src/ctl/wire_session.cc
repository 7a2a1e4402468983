#include "ctl/wire_session.h"

#include <algorithm>
#include <iostream>

#include "base/seeded_random_source.h"
#include "base/system_clock_source.h"
#include "ctl/status_source.h"
#include "io/fiber_group.h"
#include "io/io_loop.h"
#include "wire/control_client.h"

namespace hornbeam {

namespace {

constexpr std::string_view kProcessName = "hornbeamctl";
constexpr std::chrono::seconds kStopTimeout(1);

// Queries one control VM after the other until one replies.
class wire_status_source final : public status_source {
 public:
  wire_status_source(control_client& client, const clock_source& clock)
      : client_(client), clock_(clock) {}

  result<status_reply, store_error> Status(time_point deadline) override {
    store_error last = store_error::kUnreachable;
    for (std::size_t i = 0; i < client_.ControlCount(); ++i) {
      // Each control VM gets an equal share of the remaining time, so that an
      // unresponsive one does not use up the time of the others.
      const time_point now = clock_.Now();
      const auto share =
          (deadline - now) / static_cast<long>(client_.ControlCount() - i);
      auto reply = client_.Status(i, now + share);
      if (reply) return reply;
      last = std::max(last, reply.error());
    }
    return last;
  }

 private:
  control_client& client_;
  const clock_source& clock_;
};

class wire_session final : public ctl_session {
 public:
  explicit wire_session(const ctl_connection& connection)
      : random_(seeded_random_source::MakeSystemSeed()),
        self_{.name = std::string(kProcessName), .incarnation = random_.Next()},
        client_(control_client::MakeControlClient(
            loop_, clock_, self_, connection.control, 0, nullptr)),
        status_(*client_, clock_),
        context_{*client_,           status_,   clock_, random_, std::cin,
                 &io_loop::SleepFor, connection} {
    client_->Start(fibers_);
  }

  ~wire_session() override {
    client_->Stop();
    fibers_.WaitEmpty(clock_.Now() + kStopTimeout);
  }

  ctl_context& Context() override { return context_; }

 private:
  system_clock_source clock_;
  seeded_random_source random_;
  process_identity self_;
  io_loop loop_;
  fiber_group fibers_;
  std::unique_ptr<control_client> client_;
  wire_status_source status_;
  ctl_context context_;
};

}  // namespace

std::unique_ptr<ctl_session> MakeWireSession(const ctl_connection& connection) {
  return std::make_unique<wire_session>(connection);
}

}  // namespace hornbeam
