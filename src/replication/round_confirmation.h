// A value that counts once a quorum has replied to a later round of heartbeats.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace hornbeam {

// Keeps the latest confirmed value, the oldest one that waits for its round and
// the latest one after that, however many are added. Owned by replica_core.
template <class Value>
class round_confirmation {
 public:
  // Adds `value`, which a quorum's replies to round `sequence` confirm. Values
  // and rounds must not decrease.
  void Add(Value value, std::uint64_t sequence) {
    auto& slot = waiting_ ? latest_ : waiting_;
    slot = pending{.value = value, .sequence = sequence};
  }

  // Must be called when a quorum has replied to the rounds up to `sequence`.
  // Returns whether this confirmed the first value.
  bool OnConfirmed(std::uint64_t sequence) {
    const bool had_value = confirmed_.has_value();
    while (waiting_ && waiting_->sequence <= sequence) {
      confirmed_ = waiting_->value;
      waiting_ = std::exchange(latest_, std::nullopt);
    }
    return !had_value && confirmed_.has_value();
  }

  // Returns std::nullopt until a value is confirmed.
  [[nodiscard]] const std::optional<Value>& Confirmed() const {
    return confirmed_;
  }

 private:
  struct pending {
    Value value;
    std::uint64_t sequence = 0;
  };

  std::optional<Value> confirmed_;
  std::optional<pending> waiting_;
  std::optional<pending> latest_;
};

}  // namespace hornbeam
