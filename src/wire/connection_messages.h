// Messages that concern a connection itself.
#pragma once

#include <cstdint>
#include <string>

namespace hornbeam {

// What a connection is for. Long calls never share a connection with short
// ones.
enum class connection_purpose : std::uint8_t {
  kShortCalls,
  kLongCalls,
  kControl,  // To a control VM: leases, memberships, stores.
  kReplica,  // Between control VMs.
};

inline constexpr std::uint32_t kProtocolVersion = 2;

// First on every connection, in both directions.
struct hello {
  std::uint32_t protocol_version = 0;
  std::string sender;             // The process's name.
  std::uint64_t incarnation = 0;  // Of the sending process.
  connection_purpose purpose = connection_purpose::kControl;
  // Grows with each connection of one sender's incarnation. A receiver closes
  // older connections of the same sender and purpose, so that nothing delayed
  // on them can arrive after a fate_query.
  std::uint64_t connection_number = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(protocol_version, sender, incarnation, purpose, connection_number);
  }
};

// Asks the other side to show that it is there; answered by pong.
struct ping {
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

struct pong {
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

}  // namespace hornbeam
