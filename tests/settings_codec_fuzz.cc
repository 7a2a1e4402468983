// Decoders of the settings store's messages with arbitrary bytes.
//
// SOURCES: src/settings/settings_codec.cc
#include "settings/settings_codec.h"
#include "support/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace hornbeam;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes = FuzzText(data, size);
  FuzzCodec(bytes, DecodeSettingsCommand, EncodeSettingsCommand);
  FuzzCodec(bytes, DecodeSettingsReply, EncodeSettingsReply);
  FuzzCodec(bytes, DecodeSettingsQuery, EncodeSettingsQuery);
  FuzzCodec(bytes, DecodeDocumentList, EncodeDocumentList);
  return 0;
}
