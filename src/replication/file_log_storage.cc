#include "replication/file_log_storage.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "replication/log_segment.h"
#include "replication/replica_codec.h"
#include "replication/storage_frame.h"
#include "replication/synced_file.h"

namespace hornbeam {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
// Sequence number of the frame in a file that holds only one frame.
constexpr std::uint64_t kSingleFrameSequence = 0;

storage_error MakeCorruption(const fs::path& path, std::string_view reason) {
  return {.kind = storage_error_kind::kCorrupt,
          .detail = fmt::format("{}: {}", path.string(), reason)};
}

// Returns the numbers N of the files named `prefix`N in `directory`, sorted.
std::vector<std::uint64_t> ListFileNumbers(const fs::path& directory,
                                           std::string_view prefix) {
  std::vector<std::uint64_t> numbers;
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(directory, ignored)) {
    const std::string name = file.path().filename().string();
    if (!name.starts_with(prefix)) continue;
    std::uint64_t number = 0;
    const char* end = name.data() + name.size();
    const auto parsed =
        std::from_chars(name.data() + prefix.size(), end, number);
    if (parsed.ptr == end) numbers.push_back(number);
  }
  std::ranges::sort(numbers);
  return numbers;
}

fs::path NumberedPath(const fs::path& directory, std::string_view prefix,
                      std::uint64_t number) {
  return directory / fmt::format("{}{:020}", prefix, number);
}

// Returns the payload of a file that holds exactly one frame.
result<std::string, storage_error> ReadSingleFrame(const fs::path& path) {
  auto bytes = ReadWholeFile(path);
  if (!bytes) return bytes;
  auto content = DecodeSegment(bytes.value(), kSingleFrameSequence, path);
  if (!content) return std::move(content).error();
  if (content.value().payloads.size() != 1 || content.value().torn) {
    return MakeCorruption(path, "checksum mismatch or incomplete frame");
  }
  return std::move(content.value().payloads.front());
}

void RemoveTemporaryFiles(const fs::path& directory) {
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(directory, ignored)) {
    if (file.path().extension() != kTemporarySuffix) continue;
    fs::remove(file.path(), ignored);
  }
}

}  // namespace

result<std::unique_ptr<log_storage>, storage_error>
file_log_storage::MakeFileLogStorage(const fs::path& directory,
                                     std::uint64_t new_incarnation,
                                     std::uint64_t segment_bytes) {
  std::error_code code;
  fs::create_directories(directory, code);
  if (code) {
    return storage_error{
        .kind = storage_error_kind::kIo,
        .detail = fmt::format("{}: {}", directory.string(), code.message())};
  }
  auto lock = directory_lock::MakeDirectoryLock(directory);
  if (!lock) return std::move(lock).error();
  return std::unique_ptr<log_storage>(new file_log_storage(
      directory, new_incarnation, segment_bytes, std::move(lock).value()));
}

file_log_storage::file_log_storage(fs::path directory,
                                   std::uint64_t new_incarnation,
                                   std::uint64_t segment_bytes,
                                   std::unique_ptr<directory_lock> lock)
    : directory_(std::move(directory)),
      new_incarnation_(new_incarnation),
      segment_bytes_(segment_bytes),
      lock_(std::move(lock)) {}

file_log_storage::~file_log_storage() = default;

fs::path file_log_storage::SegmentPath(std::uint64_t first) const {
  return NumberedPath(directory_, kSegmentPrefix, first);
}

// ---- Recovery ----

result<recovered_state, storage_error> file_log_storage::Load() {
  RemoveTemporaryFiles(directory_);
  recovered_state recovered;
  auto loaded = LoadSnapshot(recovered);
  if (loaded) loaded = LoadSegments(recovered);
  if (!loaded) return std::move(loaded).error();
  const bool conflicts = ConflictsWithSnapshot(recovered);
  if (!RemoveSnapshottedEntries(recovered)) {
    return MakeCorruption(directory_, "log entries are missing");
  }
  state_ = recovered.state;
  loaded = LoadIdentity(recovered);
  if (loaded) loaded = OpenForWriting();
  // Without this record the next start would replay the dropped entries
  // together with the entries written after this start.
  if (loaded && conflicts) loaded = WriteLogReset(recovered.snapshot->index);
  if (!loaded) return std::move(loaded).error();
  return recovered;
}

result<void, storage_error> file_log_storage::LoadIdentity(
    recovered_state& recovered) {
  const fs::path path = directory_ / kIdentityName;
  std::error_code ignored;
  if (fs::exists(path, ignored)) {
    if (segments_.empty()) return MakeCorruption(directory_, "no log segments");
    auto payload = ReadSingleFrame(path);
    if (!payload) return std::move(payload).error();
    const auto incarnation = DecodeIncarnation(payload.value());
    if (!incarnation) return MakeCorruption(path, "invalid incarnation");
    recovered.incarnation = *incarnation;
    return success();
  }
  // The first start writes the identity file last, so it cannot be missing
  // while the log has content.
  if (recovered.snapshot || !recovered.entries.empty() ||
      state_ != hard_state{}) {
    return MakeCorruption(path, "file is missing, but a log exists");
  }
  if (segments_.empty()) {
    auto started = StartSegment();
    if (!started) return started;
  }
  recovered.incarnation = new_incarnation_;
  return ReplaceFile(
      path, EncodeSegmentFrame(kSingleFrameSequence,
                               EncodeIncarnation(recovered.incarnation)));
}

result<void, storage_error> file_log_storage::OpenForWriting() {
  if (file_ == nullptr) return StartSegment();
  if (file_->size() == 0) {
    auto written = AppendState();
    if (!written) return written;
  }
  return SyncDirectory(directory_);
}

result<void, storage_error> file_log_storage::WriteLogReset(
    std::uint64_t index) {
  return AppendFrame(
      EncodeStorageFrame({.state = {}, .reset_index = index, .entries = {}}));
}

result<void, storage_error> file_log_storage::LoadSegments(
    recovered_state& recovered) {
  const std::vector<std::uint64_t> first_sequences =
      ListFileNumbers(directory_, kSegmentPrefix);
  for (const std::uint64_t first : first_sequences) {
    auto loaded =
        LoadSegment(first, first == first_sequences.back(), recovered);
    if (!loaded) return loaded;
  }
  return success();
}

result<void, storage_error> file_log_storage::LoadSnapshot(
    recovered_state& recovered) {
  const std::vector<std::uint64_t> indexes =
      ListFileNumbers(directory_, kSnapshotPrefix);
  if (indexes.empty()) return success();
  const fs::path path =
      NumberedPath(directory_, kSnapshotPrefix, indexes.back());
  auto payload = ReadSingleFrame(path);
  if (!payload) return std::move(payload).error();
  auto snapshot = DecodeLogSnapshot(payload.value());
  if (!snapshot) return MakeCorruption(path, "invalid snapshot");
  recovered.snapshot =
      std::make_shared<const log_snapshot>(std::move(*snapshot));
  return success();
}

result<void, storage_error> file_log_storage::LoadSegment(
    std::uint64_t first_sequence, bool is_last, recovered_state& recovered) {
  const fs::path path = SegmentPath(first_sequence);
  auto bytes = ReadWholeFile(path);
  if (!bytes) return std::move(bytes).error();
  auto content = DecodeSegment(bytes.value(), first_sequence, path);
  if (!content) return std::move(content).error();
  if (content.value().torn && !is_last) {
    return MakeCorruption(path, "corrupt frame, followed by a later segment");
  }
  if (!segments_.empty() && first_sequence != next_sequence_) {
    return MakeCorruption(path, "previous segment is missing");
  }
  next_sequence_ = first_sequence;
  segment& added = segments_.emplace_back();
  added.first_sequence = first_sequence;
  for (const std::string& payload : content.value().payloads) {
    auto frame = DecodeStorageFrame(payload);
    if (!frame) return MakeCorruption(path, "invalid batch");
    for (const log_entry& entry : frame->entries) {
      added.last_index = std::max(added.last_index, entry.index);
    }
    ApplyStorageFrame(std::move(*frame), recovered);
    ++next_sequence_;
  }
  if (!is_last) return success();
  auto file = synced_file::MakeSyncedFile(path, content.value().valid_size);
  if (!file) return std::move(file).error();
  file_ = std::move(file).value();
  return success();
}

// ---- Writing ----

result<void, storage_error> file_log_storage::Write(
    const storage_batch& batch) {
  if (failure_) return *failure_;
  auto written = WriteBatch(batch);
  if (!written) failure_ = written.error();
  return written;
}

result<recovered_state, storage_error> file_log_storage::Reopen() {
  auto loaded = LoadAgain();
  if (loaded) {
    failure_.reset();
  } else {
    failure_ = loaded.error();
  }
  return loaded;
}

result<recovered_state, storage_error> file_log_storage::LoadAgain() {
  // The frame of the failed write may be readable without being on disk, so it
  // must not be read back.
  if (file_ != nullptr) {
    auto cut = file_->CutBack();
    if (!cut) return std::move(cut).error();
  }
  segments_.clear();
  file_.reset();
  next_sequence_ = 1;
  state_ = {};
  auto loaded = Load();
  if (!loaded) return loaded;
  auto written = AppendState();
  if (!written) return std::move(written).error();
  return loaded;
}

result<void, storage_error> file_log_storage::WriteBatch(
    const storage_batch& batch) {
  storage_frame frame{
      .state = batch.state, .reset_index = {}, .entries = batch.entries};
  if (batch.snapshot) {
    // The hard state must be on disk before the snapshot that depends on it.
    if (batch.state) {
      state_ = *batch.state;
      auto written = AppendState();
      if (!written) return written;
    }
    auto written = WriteSnapshot(*batch.snapshot);
    if (!written) return written;
    if (batch.snapshot_replaces_log) {
      frame.reset_index = batch.snapshot->index;
    }
  }
  if (batch.state) state_ = *batch.state;
  if (file_->size() >= segment_bytes_) {
    auto started = StartSegment();
    if (!started) return started;
  }
  auto written = AppendFrame(EncodeStorageFrame(frame));
  if (!written) return written;
  if (!batch.entries.empty()) {
    segment& last = segments_.back();
    last.last_index = std::max(last.last_index, batch.entries.back().index);
  }
  if (batch.snapshot) DeleteOldFiles(batch.snapshot->index);
  return success();
}

result<void, storage_error> file_log_storage::AppendFrame(
    std::string_view payload) {
  auto written = file_->Append(EncodeSegmentFrame(next_sequence_, payload));
  if (written) ++next_sequence_;
  return written;
}

result<void, storage_error> file_log_storage::StartSegment() {
  auto file = synced_file::MakeSyncedFile(SegmentPath(next_sequence_), 0);
  if (!file) return std::move(file).error();
  file_ = std::move(file).value();
  segment& added = segments_.emplace_back();
  added.first_sequence = next_sequence_;
  auto written = AppendState();
  if (!written) return written;
  return SyncDirectory(directory_);
}

result<void, storage_error> file_log_storage::AppendState() {
  return AppendFrame(
      EncodeStorageFrame({.state = state_, .reset_index = {}, .entries = {}}));
}

result<void, storage_error> file_log_storage::WriteSnapshot(
    const log_snapshot& snapshot) {
  return ReplaceFile(
      NumberedPath(directory_, kSnapshotPrefix, snapshot.index),
      EncodeSegmentFrame(kSingleFrameSequence, EncodeLogSnapshot(snapshot)));
}

// Deletes the files that the snapshot makes obsolete. Errors are ignored,
// because a file that is not deleted only takes up space. Segments disappear in
// their order, even if power is lost: the next start takes a gap for
// corruption.
void file_log_storage::DeleteOldFiles(std::uint64_t snapshot_index) {
  std::error_code ignored;
  for (const std::uint64_t index :
       ListFileNumbers(directory_, kSnapshotPrefix)) {
    if (index >= snapshot_index) continue;
    fs::remove(NumberedPath(directory_, kSnapshotPrefix, index), ignored);
  }
  while (segments_.size() > 1 &&
         segments_.front().last_index <= snapshot_index) {
    std::error_code failure;
    fs::remove(SegmentPath(segments_.front().first_sequence), failure);
    if (failure || !SyncDirectory(directory_)) return;
    segments_.pop_front();
  }
}

}  // namespace hornbeam
