// A TCP relay that can delay bytes, or drop them without closing connections.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeam {

// Forwards connections to a target, on a thread that the relay owns.
// Thread-safe.
class silent_relay {
 public:
  // Listens on `listen` and forwards to `target`, both "address:port". Returns
  // null when an address is malformed or the relay cannot listen.
  static std::unique_ptr<silent_relay> MakeSilentRelay(
      const std::string& listen, const std::string& target);
  ~silent_relay();
  silent_relay(const silent_relay&) = delete;
  silent_relay& operator=(const silent_relay&) = delete;

  // Returns the delay of a connection, given the first bytes that its client
  // sends.
  using delay_rule =
      std::function<std::chrono::microseconds(std::string_view first_bytes)>;

  // Sets the delay, in each direction, of connections whose first bytes arrive
  // from now on. The rule is called on the relay's thread.
  void SetDelayRule(delay_rule rule);
  // Makes open connections silent permanently. New connections work.
  void SilenceOpenConnections();
  // Starts or ends a partition, in which no connection, open or new, passes any
  // bytes and none is closed or refused. Connections that were open during a
  // partition stay silent after it.
  void SetPartitioned(bool is_partitioned);
  // Returns the bytes that were forwarded so far, in both directions together.
  [[nodiscard]] std::uint64_t BytesForwarded() const;
  // Returns the address on which the relay listens.
  [[nodiscard]] const std::string& Address() const { return address_; }

 private:
  class engine;

  silent_relay(std::unique_ptr<engine> relay_engine, std::string address);

  std::unique_ptr<engine> engine_;
  std::string address_;
};

}  // namespace hornbeam
