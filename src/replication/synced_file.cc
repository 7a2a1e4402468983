#include "replication/synced_file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace hornbeam {

namespace {

constexpr int kFileMode = 0644;

// Returns the error of system call `call` on `path`, from errno.
storage_error MakeSystemError(std::string_view call,
                              const std::filesystem::path& path) {
  const int code = errno;
  const bool full = code == ENOSPC || code == EDQUOT;
  return {.kind = full ? storage_error_kind::kFull : storage_error_kind::kIo,
          .detail = fmt::format("{}: {}: {}", path.string(), call,
                                std::generic_category().message(code))};
}

result<void, storage_error> WriteAll(int descriptor, std::string_view bytes,
                                     const std::filesystem::path& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return MakeSystemError("write", path);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return success();
}

}  // namespace

result<std::unique_ptr<synced_file>, storage_error> synced_file::MakeSyncedFile(
    const std::filesystem::path& path, std::uint64_t size) {
  const int descriptor = ::open(
      path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return MakeSystemError("open", path);
  std::unique_ptr<synced_file> file(new synced_file(path, descriptor, size));
  if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) {
    return MakeSystemError("ftruncate", path);
  }
  if (::fsync(descriptor) != 0) return MakeSystemError("fsync", path);
  return file;
}

synced_file::synced_file(std::filesystem::path path, int descriptor,
                         std::uint64_t size)
    : path_(std::move(path)), descriptor_(descriptor), size_(size) {}

synced_file::~synced_file() { ::close(descriptor_); }

result<void, storage_error> synced_file::Append(std::string_view bytes) {
  auto written = WriteAll(descriptor_, bytes, path_);
  if (!written) return written;
  if (::fdatasync(descriptor_) != 0) {
    return MakeSystemError("fdatasync", path_);
  }
  size_ += bytes.size();
  return success();
}

result<void, storage_error> synced_file::CutBack() {
  if (::ftruncate(descriptor_, static_cast<off_t>(size_)) != 0) {
    return MakeSystemError("ftruncate", path_);
  }
  if (::fsync(descriptor_) != 0) return MakeSystemError("fsync", path_);
  return success();
}

result<std::unique_ptr<directory_lock>, storage_error>
directory_lock::MakeDirectoryLock(const std::filesystem::path& directory) {
  const std::filesystem::path path = directory / "lock";
  const int descriptor =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) return MakeSystemError("open", path);
  std::unique_ptr<directory_lock> lock(new directory_lock(descriptor));
  if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    storage_error error = MakeSystemError("flock", path);
    error.kind = storage_error_kind::kInUse;
    return error;
  }
  return lock;
}

directory_lock::~directory_lock() { ::close(descriptor_); }

result<void, storage_error> SyncDirectory(
    const std::filesystem::path& directory) {
  const int descriptor =
      ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return MakeSystemError("open", directory);
  const int code = ::fsync(descriptor);
  const storage_error error = MakeSystemError("fsync", directory);
  ::close(descriptor);
  if (code != 0) return error;
  return success();
}

result<void, storage_error> ReplaceFile(const std::filesystem::path& path,
                                        std::string_view bytes) {
  const std::filesystem::path temporary = path.string() + ".tmp";
  auto file = synced_file::MakeSyncedFile(temporary, 0);
  if (!file) return std::move(file).error();
  auto written = file.value()->Append(bytes);
  if (!written) return written;
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return MakeSystemError("rename", path);
  }
  return SyncDirectory(path.parent_path());
}

result<std::string, storage_error> ReadWholeFile(
    const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::string bytes{std::istreambuf_iterator<char>(in),
                    std::istreambuf_iterator<char>()};
  if (!in) return MakeSystemError("read", path);
  return bytes;
}

}  // namespace hornbeam
