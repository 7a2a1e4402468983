// File operations that sync to disk before they return.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "hornbeam/result.h"
#include "replication/log_storage.h"

namespace hornbeam {

// A file opened for appending, with a sync after every append.
class synced_file {
 public:
  // Creates `path`, or opens it and truncates it to `size` bytes.
  static result<std::unique_ptr<synced_file>, storage_error> MakeSyncedFile(
      const std::filesystem::path& path, std::uint64_t size);
  ~synced_file();
  synced_file(const synced_file&) = delete;
  synced_file& operator=(const synced_file&) = delete;

  // Appends `bytes` and calls fdatasync.
  result<void, storage_error> Append(std::string_view bytes);

  // Removes what a failed Append may have left behind the last synced byte.
  result<void, storage_error> CutBack();

  [[nodiscard]] std::uint64_t size() const { return size_; }

 private:
  synced_file(std::filesystem::path path, int descriptor, std::uint64_t size);

  const std::filesystem::path path_;
  const int descriptor_;
  std::uint64_t size_;
};

// Exclusive lock on a directory, held by this process until destroyed.
class directory_lock {
 public:
  // Locks `directory`. Returns kInUse if another process has locked it.
  static result<std::unique_ptr<directory_lock>, storage_error>
  MakeDirectoryLock(const std::filesystem::path& directory);
  ~directory_lock();
  directory_lock(const directory_lock&) = delete;
  directory_lock& operator=(const directory_lock&) = delete;

 private:
  explicit directory_lock(int descriptor) : descriptor_(descriptor) {}

  const int descriptor_;
};

// Syncs the directory entries of `directory`.
result<void, storage_error> SyncDirectory(
    const std::filesystem::path& directory);

// Replaces the content of `path` atomically and durably, by writing a temporary
// file and renaming it. On an error `path` keeps its old content.
result<void, storage_error> ReplaceFile(const std::filesystem::path& path,
                                        std::string_view bytes);

// Returns the content of `path`.
result<std::string, storage_error> ReadWholeFile(
    const std::filesystem::path& path);

}  // namespace hornbeam
