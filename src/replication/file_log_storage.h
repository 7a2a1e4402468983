// Durable storage of one replica in a data directory.
#pragma once

#include <cstdint>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <string_view>

#include "replication/log_storage.h"

namespace hornbeam {

class directory_lock;
class synced_file;

// Stores the hard state, log and snapshot of one replica in files. Owned by the
// replica host; methods may be called from one thread at a time.
//
// Files in the directory:
// - `identity`: the incarnation, written once at the end of the first start.
// - `log-N`: segments, numbered by the sequence number of their first frame,
//   see log_segment.h. Each begins with the hard state, so that older segments
//   can be deleted.
// - `snapshot-N`: the latest snapshot, written to a temporary file and renamed
//   after a sync.
// - `lock`: held while the directory is in use.
//
// Each batch costs one fdatasync. After a failed write all further writes fail
// until Reopen succeeds.
class file_log_storage final : public log_storage {
 public:
  static constexpr std::uint64_t kDefaultSegmentBytes = std::uint64_t{32}
                                                        << 20U;

  // Creates `directory` if it does not exist. Returns an error if the directory
  // cannot be used or another process has locked it. `new_incarnation` is a
  // random number other than 0 that becomes the incarnation if the directory is
  // empty.
  static result<std::unique_ptr<log_storage>, storage_error> MakeFileLogStorage(
      const std::filesystem::path& directory, std::uint64_t new_incarnation,
      std::uint64_t segment_bytes = kDefaultSegmentBytes);
  ~file_log_storage() override;

  result<recovered_state, storage_error> Load() override;
  result<void, storage_error> Write(const storage_batch& batch) override;
  result<recovered_state, storage_error> Reopen() override;

 private:
  struct segment {
    std::uint64_t first_sequence = 0;
    std::uint64_t last_index = 0;  // Highest entry index ever written to it.
  };

  file_log_storage(std::filesystem::path directory,
                   std::uint64_t new_incarnation, std::uint64_t segment_bytes,
                   std::unique_ptr<directory_lock> lock);

  result<recovered_state, storage_error> LoadAgain();
  result<void, storage_error> LoadIdentity(recovered_state& recovered);
  result<void, storage_error> LoadSnapshot(recovered_state& recovered);
  result<void, storage_error> LoadSegments(recovered_state& recovered);
  result<void, storage_error> LoadSegment(std::uint64_t first_sequence,
                                          bool is_last,
                                          recovered_state& recovered);
  result<void, storage_error> OpenForWriting();
  result<void, storage_error> StartSegment();
  result<void, storage_error> AppendState();
  result<void, storage_error> WriteLogReset(std::uint64_t index);
  result<void, storage_error> WriteBatch(const storage_batch& batch);
  result<void, storage_error> WriteSnapshot(const log_snapshot& snapshot);
  result<void, storage_error> AppendFrame(std::string_view payload);
  void DeleteOldFiles(std::uint64_t snapshot_index);
  [[nodiscard]] std::filesystem::path SegmentPath(std::uint64_t first) const;

  const std::filesystem::path directory_;
  const std::uint64_t new_incarnation_;
  const std::uint64_t segment_bytes_;
  const std::unique_ptr<directory_lock> lock_;
  std::deque<segment> segments_;
  std::unique_ptr<synced_file> file_;  // The last segment.
  std::uint64_t next_sequence_ = 1;
  hard_state state_;
  std::optional<storage_error> failure_;
};

}  // namespace hornbeam
