// Decoders of the operation ledger's messages with arbitrary bytes.
//
// SOURCES: src/ledger/ledger_codec.cc
#include "ledger/ledger_codec.h"
#include "support/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace hornbeam;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes = FuzzText(data, size);
  FuzzCodec(bytes, DecodeLedgerCommand, EncodeLedgerCommand);
  FuzzCodec(bytes, DecodeLedgerReply, EncodeLedgerReply);
  FuzzCodec(bytes, DecodeLedgerQuery, EncodeLedgerQuery);
  FuzzCodec(bytes, DecodeUnresolvedPage, EncodeUnresolvedPage);
  FuzzCodec(bytes, DecodeRecordedAnswer, EncodeRecordedAnswer);
  return 0;
}
