// Encoding of the log segments on disk.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "hornbeam/result.h"
#include "replication/log_storage.h"

namespace hornbeam {

// The payloads of a segment's frames and the end of the last complete frame.
struct segment_content {
  std::vector<std::string> payloads;
  std::size_t valid_size = 0;  // Bytes.
  bool torn = false;           // Bytes of an incomplete frame follow.
};

// Returns one frame of a segment. A segment is a sequence of frames, each of
// which consists of magic number, payload size, sequence number, checksum and
// payload. A frame holds one batch and is written only after the previous frame
// is synced. An invalid frame that no valid frame follows is therefore a batch
// that was never acknowledged; an invalid frame before a valid one means that
// the file is corrupt.
//
// Limit: corruption of the last frame is indistinguishable from a torn write.
std::string EncodeSegmentFrame(std::uint64_t sequence,
                               std::string_view payload);

// Reads the frames of one segment, whose first frame has sequence number
// `first_sequence`. Returns an error if the segment is corrupt; `path` is only
// used in the error text.
result<segment_content, storage_error> DecodeSegment(
    std::string_view bytes, std::uint64_t first_sequence,
    const std::filesystem::path& path);

}  // namespace hornbeam
