// Fuzz test of the decoders for replica messages, log entries, snapshots and
// hard states.
//
// SOURCES: src/replication/replica_codec.cc
#include "replication/replica_codec.h"
#include "support/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace hornbeam;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes = FuzzText(data, size);
  FuzzCodec(bytes, DecodeReplicaMessage, EncodeReplicaMessage);
  FuzzCodec(bytes, DecodeLogEntry, EncodeLogEntry);
  FuzzCodec(bytes, DecodeLogSnapshot, EncodeLogSnapshot);
  FuzzCodec(bytes, DecodeHardState, EncodeHardState);
  return 0;
}
