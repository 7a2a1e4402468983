// Fuzz target: decoding frames and messages from arbitrary bytes.
//
// SOURCES: src/wire/frame_codec.cc
// LIBRARIES: -lxxhash
#include <xxhash.h>

#include <cstring>
#include <string>

#include "support/fuzz_check.h"
#include "wire/frame_codec.h"

namespace hornbeam {

namespace {

// Decodes the bytes as if received on a connection. A decoded frame must encode
// to the same bytes.
void FuzzStream(std::string_view bytes) {
  std::size_t used = 0;
  const auto decoded = DecodeFrame(bytes, used);
  if (!decoded || !decoded.value()) {
    FuzzCheck(used == 0);
    return;
  }
  FuzzCheck(used >= kFrameHeaderBytes && used <= bytes.size());
  FuzzCheck(EncodeFrame(*decoded.value()) == bytes.substr(0, used));
}

// Prepends a valid length and checksum, so that the bytes reach the message
// codec.
void FuzzMessage(std::string_view body) {
  const auto size = static_cast<std::uint32_t>(body.size());
  const std::uint32_t checksum = XXH32(body.data(), body.size(), 0);
  std::string frame(kFrameHeaderBytes, '\0');
  std::memcpy(frame.data(), &size, sizeof(size));
  std::memcpy(frame.data() + sizeof(size), &checksum, sizeof(checksum));
  FuzzStream(frame.append(body));
}

}  // namespace

}  // namespace hornbeam

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes = hornbeam::FuzzText(data, size);
  hornbeam::FuzzStream(bytes);
  hornbeam::FuzzMessage(bytes);
  return 0;
}
