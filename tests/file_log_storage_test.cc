// Recovery of file_log_storage after restarts, torn writes and corruption.
#include "replication/file_log_storage.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <map>
#include <vector>

#include "base/seeded_random_source.h"
#include "support/memory_log_storage.h"
#include "support/temporary_directory.h"

namespace hornbeam {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kIncarnation = 42;
constexpr std::uint64_t kSmallSegment = 700;  // Bytes.

std::unique_ptr<log_storage> Open(const fs::path& directory,
                                  std::uint64_t segment_bytes = kSmallSegment) {
  auto opened = file_log_storage::MakeFileLogStorage(directory, kIncarnation,
                                                     segment_bytes);
  BOOST_REQUIRE(opened.has_value());
  return std::move(opened).value();
}

// Returns the error of loading from `directory`; fails the test if there is
// none.
storage_error LoadError(const fs::path& directory) {
  auto recovered = Open(directory)->Load();
  BOOST_REQUIRE(!recovered.has_value());
  return recovered.error();
}

bool IsSame(const recovered_state& a, const recovered_state& b) {
  const auto index = [](const recovered_state& state) {
    return state.snapshot ? state.snapshot->index : 0;
  };
  return a.incarnation == b.incarnation && a.state == b.state &&
         a.entries == b.entries && index(a) == index(b);
}

// Limits the size of files that this process writes, while it exists.
class file_size_limit {
 public:
  explicit file_size_limit(std::size_t bytes)
      : handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit limited = before_;
    limited.rlim_cur = bytes;
    ::setrlimit(RLIMIT_FSIZE, &limited);
  }
  ~file_size_limit() {
    ::setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }
  file_size_limit(const file_size_limit&) = delete;
  file_size_limit& operator=(const file_size_limit&) = delete;

 private:
  rlimit before_{};
  void (*const handler_)(int);
};

std::vector<fs::path> ListSegments(const fs::path& directory) {
  std::vector<fs::path> paths;
  for (const auto& file : fs::directory_iterator(directory)) {
    if (file.path().filename().string().starts_with("log-")) {
      paths.push_back(file.path());
    }
  }
  std::ranges::sort(paths);
  return paths;
}

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void WriteFile(const fs::path& path, std::string_view bytes) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << bytes;
}

log_entry MakeEntry(std::uint64_t index, std::uint64_t term) {
  return {.index = index,
          .term = term,
          .kind = entry_kind::kCommand,
          .accepted_at_us = static_cast<std::int64_t>(index),
          .command = "command " + std::to_string(index)};
}

storage_batch MakeBatch(std::uint64_t first, std::uint64_t count) {
  storage_batch batch;
  batch.state.emplace().term = first;
  for (std::uint64_t i = 0; i < count; ++i) {
    batch.entries.push_back(MakeEntry(first + i, first));
  }
  return batch;
}

// Generates random batches like those of a replica_core: appended entries,
// overwritten entries, own snapshots and installed snapshots.
class batch_generator {
 public:
  storage_batch Next() {
    ++term_;
    storage_batch batch;
    if (random_.NextBelow(2) == 0) batch.state.emplace().term = term_;
    const std::uint64_t choice = random_.NextBelow(10);
    if (choice == 0 && last_ > snapshot_) {
      const auto index = snapshot_ + 1 + random_.NextBelow(last_ - snapshot_);
      AddSnapshot(batch, {.term = terms_.at(index), .index = index});
    } else if (choice == 1) {
      AddSnapshot(batch,
                  {.term = term_, .index = last_ + random_.NextBelow(5) + 1});
      batch.snapshot_replaces_log = true;
      last_ = snapshot_;
    } else if (choice == 2 && last_ > snapshot_) {
      last_ = snapshot_ + random_.NextBelow(last_ - snapshot_);
    }
    for (std::uint64_t count = random_.NextBelow(4); count > 0; --count) {
      batch.entries.push_back(MakeEntry(++last_, term_));
      terms_[last_] = term_;
    }
    return batch;
  }

 private:
  void AddSnapshot(storage_batch& batch, const log_position& end) {
    snapshot_ = end.index;
    batch.snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{.index = end.index, .term = end.term, .state = "state"});
  }

  seeded_random_source random_{3};
  std::uint64_t term_ = 0;
  std::uint64_t last_ = 0;
  std::uint64_t snapshot_ = 0;
  std::map<std::uint64_t, std::uint64_t> terms_;  // By index.
};

}  // namespace

BOOST_AUTO_TEST_SUITE(file_log_storage_test)

BOOST_AUTO_TEST_CASE(restarts_recover_every_acknowledged_batch) {
  const temporary_directory directory;
  memory_disk expected(kIncarnation);
  batch_generator generator;
  for (int start = 0; start < 40; ++start) {
    const auto storage = Open(directory.Path());
    const auto recovered = storage->Load();
    BOOST_REQUIRE(recovered.has_value());
    BOOST_REQUIRE(IsSame(recovered.value(), expected.Recover()));
    for (int i = 0; i < start; ++i) {
      const storage_batch batch = generator.Next();
      BOOST_REQUIRE(storage->Write(batch).has_value());
      expected.Write(batch);
    }
  }
  // Old segments are deleted after snapshots.
  BOOST_TEST(ListSegments(directory.Path()).size() < 10U);
}

BOOST_AUTO_TEST_CASE(only_a_torn_last_batch_is_dropped) {
  const temporary_directory directory;
  const auto original = directory.Path() / "original";
  std::size_t complete_size = 0;
  {
    const auto storage = Open(original);
    BOOST_REQUIRE(storage->Load().has_value());
    BOOST_REQUIRE(storage->Write(MakeBatch(1, 3)).has_value());
    complete_size = ReadFile(ListSegments(original).back()).size();
    BOOST_REQUIRE(storage->Write(MakeBatch(4, 3)).has_value());
  }
  const std::string bytes = ReadFile(ListSegments(original).back());
  for (std::size_t size = complete_size; size < bytes.size(); ++size) {
    const auto copy = directory.Path() / "copy";
    fs::copy(original, copy);
    WriteFile(ListSegments(copy).back(),
              std::string_view(bytes).substr(0, size));
    for (const std::uint64_t last : {3, 4}) {
      // The second start recovers the entry that the first start wrote in place
      // of the torn batch.
      const auto storage = Open(copy);
      const auto recovered = storage->Load();
      BOOST_REQUIRE(recovered.has_value());
      BOOST_REQUIRE(recovered.value().entries.size() == last);
      BOOST_REQUIRE(storage->Write(MakeBatch(4, 1)).has_value());
    }
    fs::remove_all(copy);
  }
}

BOOST_AUTO_TEST_CASE(
    installed_snapshot_survives_crash_before_its_batch_is_written) {
  const temporary_directory directory;
  const auto crashed = directory.Path() / "crashed";
  {
    const auto storage = Open(directory.Path() / "whole");
    BOOST_REQUIRE(storage->Load().has_value());
    BOOST_REQUIRE(storage->Write(MakeBatch(1, 9)).has_value());
    fs::copy(directory.Path() / "whole", crashed);
    storage_batch install;
    install.snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{.index = 5, .term = 2, .state = "state"});
    install.snapshot_replaces_log = true;
    BOOST_REQUIRE(storage->Write(install).has_value());
  }
  for (const auto& file : fs::directory_iterator(directory.Path() / "whole")) {
    if (!file.path().filename().string().starts_with("snapshot-")) continue;
    fs::copy(file.path(), crashed / file.path().filename());
  }
  for (const std::size_t entries : {0U, 1U, 1U}) {
    const auto storage = Open(crashed);
    const auto recovered = storage->Load();
    BOOST_REQUIRE(recovered.has_value());
    BOOST_TEST(recovered.value().snapshot->index == 5U);
    BOOST_TEST(recovered.value().entries.size() == entries);
    BOOST_REQUIRE(storage->Write(MakeBatch(6, 1)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(corrupt_frame_before_a_valid_one_is_rejected) {
  const temporary_directory directory;
  std::size_t begin = 0;
  std::size_t end = 0;
  {
    const auto storage = Open(directory.Path());
    BOOST_REQUIRE(storage->Load().has_value());
    begin = ReadFile(ListSegments(directory.Path()).back()).size();
    BOOST_REQUIRE(storage->Write(MakeBatch(1, 1)).has_value());
    end = ReadFile(ListSegments(directory.Path()).back()).size();
    BOOST_REQUIRE(storage->Write(MakeBatch(2, 1)).has_value());
  }
  const auto path = ListSegments(directory.Path()).back();
  const std::string bytes = ReadFile(path);
  for (std::size_t at = begin; at < end; ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 1);
    WriteFile(path, damaged);
    const storage_error error = LoadError(directory.Path());
    BOOST_REQUIRE((error.kind == storage_error_kind::kCorrupt));
    BOOST_REQUIRE(error.detail.find(path.string()) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(missing_files_are_rejected) {
  const temporary_directory directory;
  {
    const auto storage = Open(directory.Path());
    BOOST_REQUIRE(storage->Load().has_value());
    for (std::uint64_t i = 0; i < 30; ++i) {
      BOOST_REQUIRE(storage->Write(MakeBatch(i + 1, 1)).has_value());
    }
  }
  for (const char* const missing : {"identity", "segment", "all segments"}) {
    BOOST_TEST_CONTEXT(missing) {
      const temporary_directory copy;
      fs::copy(directory.Path(), copy.Path());
      const std::vector<fs::path> segments = ListSegments(copy.Path());
      BOOST_REQUIRE(segments.size() > 2U);
      if (std::string_view(missing) == "identity") {
        fs::remove(copy.Path() / "identity");
      } else if (std::string_view(missing) == "segment") {
        fs::remove(segments[1]);
      } else {
        for (const fs::path& segment : segments) fs::remove(segment);
      }
      BOOST_TEST((LoadError(copy.Path()).kind == storage_error_kind::kCorrupt));
    }
  }
}

// Guards against a gap between segments, which the next start takes for
// corruption: a segment that could not be deleted, or that a loss of power
// brought back, while later ones were deleted.
BOOST_AUTO_TEST_CASE(segments_are_deleted_in_their_order) {
  const temporary_directory directory;
  const fs::path aside = directory.Path() / "aside";
  {
    const auto storage = Open(directory.Path());
    BOOST_REQUIRE(storage->Load().has_value());
    for (std::uint64_t i = 0; i < 30; ++i)
      BOOST_REQUIRE(storage->Write(MakeBatch(i + 1, 1)).has_value());
    const fs::path first = ListSegments(directory.Path()).front();
    BOOST_REQUIRE(ListSegments(directory.Path()).size() > 3U);
    // A folder with content cannot be deleted as a file.
    fs::rename(first, aside);
    fs::create_directories(first / "content");
    storage_batch batch;
    batch.snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{.index = 29, .term = 29, .state = "state"});
    BOOST_REQUIRE(storage->Write(batch).has_value());
    fs::remove_all(first);
    fs::rename(aside, first);
  }
  {
    const auto storage = Open(directory.Path());
    const auto recovered = storage->Load();
    BOOST_REQUIRE(recovered.has_value());
    BOOST_TEST(recovered.value().snapshot->index == 29U);
    BOOST_TEST(recovered.value().entries.size() == 1U);
    storage_batch batch;
    batch.snapshot = std::make_shared<const log_snapshot>(
        log_snapshot{.index = 30, .term = 30, .state = "state"});
    BOOST_REQUIRE(storage->Write(batch).has_value());
    BOOST_TEST(ListSegments(directory.Path()).size() == 1U);
  }
  BOOST_TEST(Open(directory.Path())->Load().has_value());
}

BOOST_AUTO_TEST_CASE(second_process_cannot_lock_data_directory) {
  const temporary_directory directory;
  const auto storage = Open(directory.Path());
  const auto second =
      file_log_storage::MakeFileLogStorage(directory.Path(), kIncarnation);
  BOOST_REQUIRE(!second.has_value());
  BOOST_TEST((second.error().kind == storage_error_kind::kInUse));
}

BOOST_AUTO_TEST_CASE(writes_after_a_failed_write_are_rejected) {
  const temporary_directory directory;
  {
    const auto storage = Open(directory.Path(), 1U << 20U);
    BOOST_REQUIRE(storage->Load().has_value());
    BOOST_REQUIRE(storage->Write(MakeBatch(1, 1)).has_value());
    result<void, storage_error> failed = success();
    {
      const file_size_limit limit(
          ReadFile(ListSegments(directory.Path()).back()).size() + 50);
      failed = storage->Write(MakeBatch(2, 1));
    }
    BOOST_REQUIRE(!failed.has_value());
    BOOST_TEST(!failed.error().detail.empty());
    BOOST_TEST(!storage->Write(MakeBatch(2, 1)).has_value());
  }
  const auto recovered = Open(directory.Path())->Load();
  BOOST_REQUIRE(recovered.has_value());
  BOOST_TEST(recovered.value().entries.size() == 1U);
}

// Guards against storage that takes nothing after its disk was full once, that
// reads a failed batch back, or that counts as usable while nothing fits.
BOOST_AUTO_TEST_CASE(reopened_storage_takes_batches_and_lost_the_failed_one) {
  constexpr std::uint64_t kRounds = 24;
  // A part of a frame header fits, or no byte at all, with and without the
  // start of a new segment.
  for (const bool part_fits : {false, true}) {
    const temporary_directory directory;
    {
      const auto storage =
          Open(directory.Path(), part_fits ? 1U << 20U : kSmallSegment);
      BOOST_REQUIRE(storage->Load().has_value());
      for (std::uint64_t index = 1; index <= kRounds; ++index) {
        {
          const std::size_t size =
              ReadFile(ListSegments(directory.Path()).back()).size();
          const file_size_limit limit(part_fits ? size + index : 0);
          BOOST_TEST(!storage->Write(MakeBatch(index, 1)).has_value());
          BOOST_TEST(!storage->Reopen().has_value());
          BOOST_TEST(!storage->Write(MakeBatch(index, 1)).has_value());
        }
        const auto reopened = storage->Reopen();
        BOOST_REQUIRE(reopened.has_value());
        BOOST_TEST(reopened.value().incarnation == kIncarnation);
        BOOST_TEST(reopened.value().entries.size() == index - 1);
        BOOST_REQUIRE(storage->Write(MakeBatch(index, 1)).has_value());
      }
      BOOST_TEST((ListSegments(directory.Path()).size() > 1U) == !part_fits);
    }
    const auto recovered = Open(directory.Path())->Load();
    BOOST_REQUIRE(recovered.has_value());
    BOOST_TEST(recovered.value().entries.size() == kRounds);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
