// Messages that open and monitor a connection.
#pragma once

#include <cstdint>
#include <string>

namespace hornbeam {

// Purpose of a connection. Long calls never share a connection with short
// ones.
enum class connection_purpose : std::uint8_t {
  kShortCalls,
  kLongCalls,
  kControl,  // To a control VM: leases, memberships and stores.
  kReplica,  // Between control VMs.
};

inline constexpr std::uint32_t kProtocolVersion = 3;

// The first message on every connection, in both directions.
struct hello {
  std::uint32_t protocol_version = 0;
  std::string sender;             // Name of the sending process.
  std::uint64_t incarnation = 0;  // Of the sending process.
  connection_purpose purpose = connection_purpose::kControl;
  // Increases with each connection of one sender incarnation. A receiver closes
  // older connections of the same sender and purpose, so that no bytes delayed
  // on them are processed after a call_status_query.
  std::uint64_t connection_number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(protocol_version, sender, incarnation, purpose, connection_number);
  }
};

// Checks that the peer is responsive; the peer replies with pong.
struct ping {
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

// Reply to the ping with the same nonce.
struct pong {
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

}  // namespace hornbeam
