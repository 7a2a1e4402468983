#include "replication/replica_codec.h"

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

template <class T>
std::optional<T> Decode(std::string_view bytes) {
  auto decoded = DecodeBytes<T>(bytes);
  if (!decoded) return std::nullopt;
  return std::move(decoded).value();
}

}  // namespace

std::string EncodeReplicaMessage(const replica_message& message) {
  return EncodeBytes(message);
}

std::optional<replica_message> DecodeReplicaMessage(std::string_view bytes) {
  return Decode<replica_message>(bytes);
}

std::string EncodeLogEntry(const log_entry& entry) {
  return EncodeBytes(entry);
}

std::optional<log_entry> DecodeLogEntry(std::string_view bytes) {
  return Decode<log_entry>(bytes);
}

std::string EncodeLogSnapshot(const log_snapshot& snapshot) {
  return EncodeBytes(snapshot);
}

std::optional<log_snapshot> DecodeLogSnapshot(std::string_view bytes) {
  return Decode<log_snapshot>(bytes);
}

std::string EncodeHardState(const hard_state& state) {
  return EncodeBytes(state);
}

std::optional<hard_state> DecodeHardState(std::string_view bytes) {
  return Decode<hard_state>(bytes);
}

}  // namespace hornbeam
