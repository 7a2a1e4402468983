// Encodes messages as frames of a byte stream.
//
// A frame is a 4-byte little-endian length, a 4-byte checksum of the encoded
// message, and the encoded message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hornbeam/result.h"
#include "wire/messages.h"

namespace hornbeam {

// Why received bytes are not a valid frame. The connection has to be closed.
enum class frame_error : std::uint8_t {
  kTooLarge,     // The length is above kMaxFrameBytes.
  kBadChecksum,  // The bytes were corrupted in transit.
  kBadMessage,   // The bytes do not decode to a message.
};

inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::size_t kMaxFrameBytes = 4UL * 1024 * 1024;
// Size of the parts of a body, small enough that a short answer is not delayed
// by a long one on the same connection.
inline constexpr std::size_t kBodyChunkBytes = 32UL * 1024;

// Returns the whole frame for `content`.
std::string EncodeFrame(const message& content);

// Decodes the frame at the start of `bytes` and sets `used` to its size in
// bytes. Returns std::nullopt and leaves `used` unchanged if the frame is
// incomplete.
result<std::optional<message>, frame_error> DecodeFrame(std::string_view bytes,
                                                        std::size_t& used);

}  // namespace hornbeam
