// A control VM that a test writes.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "wire/frame_connection.h"
#include "wire/frame_listener.h"
#include "wire/messages.h"

namespace hornbeam {

// Answers hello, says whether it is current, and passes each message to the
// test. Owned by the test; outlives its listener.
class scripted_control_vm final : public frame_handler_factory {
 public:
  using message_rule =
      std::function<void(frame_connection& connection, const message& content)>;

  // Says nothing about itself if `is_current` is std::nullopt.
  explicit scripted_control_vm(std::optional<bool> is_current,
                               message_rule on_message = nullptr);

  std::shared_ptr<frame_handler> MakeFrameHandler() override;

 private:
  class handler;

  const std::optional<bool> is_current_;
  const message_rule on_message_;
};

}  // namespace hornbeam
