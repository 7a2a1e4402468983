#include "support/scripted_control_vm.h"

#include <utility>

namespace hornbeam {

class scripted_control_vm::handler final : public frame_handler {
 public:
  explicit handler(scripted_control_vm& vm) : vm_(vm) {}

  void OnMessage(frame_connection& connection, message content) override {
    if (std::holds_alternative<hello>(content)) {
      connection.TrySend(hello{.protocol_version = kProtocolVersion});
      if (vm_.is_current_)
        connection.TrySend(registrar_offer{.is_current = *vm_.is_current_});
    }
    if (vm_.on_message_) vm_.on_message_(connection, content);
  }
  void OnClosed(frame_connection& /*connection*/) override {}

 private:
  scripted_control_vm& vm_;
};

scripted_control_vm::scripted_control_vm(std::optional<bool> is_current,
                                         message_rule on_message)
    : is_current_(is_current), on_message_(std::move(on_message)) {}

std::shared_ptr<frame_handler> scripted_control_vm::MakeFrameHandler() {
  return std::make_shared<handler>(*this);
}

}  // namespace hornbeam
