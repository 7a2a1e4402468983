#include "replication/log_segment.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <type_traits>

namespace hornbeam {

namespace {

constexpr std::uint64_t kMagic = 0x31676f6c62726e68;  // "hnrblog1"

struct frame_header {
  std::uint64_t magic = kMagic;
  std::uint64_t payload_size = 0;
  std::uint64_t sequence = 0;
  std::uint64_t checksum = 0;
};
static_assert(std::is_trivially_copyable_v<frame_header>);

std::uint64_t Checksum(std::uint64_t sequence, std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), sequence);
}

struct frame_view {
  std::uint64_t sequence = 0;
  std::string_view payload;
};

// Returns the complete frame at the start of `bytes`, or std::nullopt.
std::optional<frame_view> ReadFrame(std::string_view bytes) {
  frame_header header;
  if (bytes.size() < sizeof(header)) return std::nullopt;
  std::memcpy(&header, bytes.data(), sizeof(header));
  bytes.remove_prefix(sizeof(header));
  if (header.magic != kMagic) return std::nullopt;
  if (header.payload_size > bytes.size()) return std::nullopt;
  const std::string_view payload = bytes.substr(0, header.payload_size);
  if (Checksum(header.sequence, payload) != header.checksum) {
    return std::nullopt;
  }
  return frame_view{.sequence = header.sequence, .payload = payload};
}

// Returns whether a complete frame with a sequence number above `sequence`
// begins anywhere in `bytes`.
bool HasLaterFrame(std::string_view bytes, std::uint64_t sequence) {
  std::string magic(sizeof(kMagic), '\0');
  std::memcpy(magic.data(), &kMagic, sizeof(kMagic));
  std::size_t at = bytes.find(magic);
  while (at != std::string_view::npos) {
    const auto frame = ReadFrame(bytes.substr(at));
    if (frame && frame->sequence > sequence) return true;
    at = bytes.find(magic, at + 1);
  }
  return false;
}

}  // namespace

std::string EncodeSegmentFrame(std::uint64_t sequence,
                               std::string_view payload) {
  const frame_header header{.payload_size = payload.size(),
                            .sequence = sequence,
                            .checksum = Checksum(sequence, payload)};
  std::string frame(sizeof(header), '\0');
  std::memcpy(frame.data(), &header, sizeof(header));
  frame += payload;
  return frame;
}

result<segment_content, storage_error> DecodeSegment(
    std::string_view bytes, std::uint64_t first_sequence,
    const std::filesystem::path& path) {
  segment_content content;
  std::uint64_t sequence = first_sequence;
  while (!bytes.empty()) {
    const auto frame = ReadFrame(bytes);
    if (!frame || frame->sequence != sequence) break;
    content.payloads.emplace_back(frame->payload);
    const std::size_t size = sizeof(frame_header) + frame->payload.size();
    content.valid_size += size;
    bytes.remove_prefix(size);
    ++sequence;
  }
  content.torn = !bytes.empty();
  if (content.torn && HasLaterFrame(bytes, sequence)) {
    return storage_error{
        .kind = storage_error_kind::kCorrupt,
        .detail = fmt::format("{}: corrupt frame at byte {}, followed by valid "
                              "frames",
                              path.string(), content.valid_size)};
  }
  return content;
}

}  // namespace hornbeam
