#include "wire/frame_codec.h"

#include <xxhash.h>

#include <cassert>
#include <cstring>
#include <utility>

#include "base/byte_archive.h"

namespace hornbeam {

namespace {

std::uint32_t Checksum(std::string_view bytes) {
  return XXH32(bytes.data(), bytes.size(), 0);
}

std::uint32_t ReadUint32(std::string_view bytes) {
  std::uint32_t number = 0;
  std::memcpy(&number, bytes.data(), sizeof(number));
  return number;
}

void WriteUint32(std::string& bytes, std::size_t position,
                 std::uint32_t number) {
  std::memcpy(bytes.data() + position, &number, sizeof(number));
}

}  // namespace

std::string EncodeFrame(const message& content) {
  std::string frame(kFrameHeaderBytes, '\0');
  byte_writer writer(frame, number_form::kCompact);
  writer(content);
  const std::string_view body =
      std::string_view(frame).substr(kFrameHeaderBytes);
  assert(body.size() <= kMaxFrameBytes);
  const std::uint32_t checksum = Checksum(body);
  WriteUint32(frame, 0, static_cast<std::uint32_t>(body.size()));
  WriteUint32(frame, sizeof(std::uint32_t), checksum);
  return frame;
}

result<std::optional<message>, frame_error> DecodeFrame(std::string_view bytes,
                                                        std::size_t& used) {
  if (bytes.size() < kFrameHeaderBytes) return std::optional<message>();
  const std::size_t size = ReadUint32(bytes);
  if (size > kMaxFrameBytes) return frame_error::kTooLarge;
  if (bytes.size() - kFrameHeaderBytes < size) return std::optional<message>();
  const std::string_view body = bytes.substr(kFrameHeaderBytes, size);
  if (Checksum(body) != ReadUint32(bytes.substr(sizeof(std::uint32_t)))) {
    return frame_error::kBadChecksum;
  }
  auto decoded = DecodeBytes<message>(body, number_form::kCompact);
  if (!decoded) return frame_error::kBadMessage;
  used = kFrameHeaderBytes + size;
  return std::optional<message>(std::move(decoded).value());
}

}  // namespace hornbeam
