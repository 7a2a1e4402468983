// In-memory log storage for tests.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "replication/log_storage.h"
#include "replication/storage_frame.h"

namespace hornbeam {

// Simulated disk of one replica. Outlives the storage objects, so that its
// content survives a simulated crash.
class memory_disk {
 public:
  explicit memory_disk(std::uint64_t incarnation) {
    content_.incarnation = incarnation;
  }

  [[nodiscard]] const recovered_state& Content() const { return content_; }

  // Carries out the first `steps` steps of writing `batch`, by default all of
  // them. Fewer steps simulate a crash during the write.
  static constexpr std::size_t kAllSteps = 3;
  void Write(const storage_batch& batch, std::size_t steps = kAllSteps) {
    if (steps > 0 && batch.state) content_.state = *batch.state;
    if (steps > 1 && batch.snapshot) content_.snapshot = batch.snapshot;
    if (steps < kAllSteps) return;
    storage_frame frame{
        .state = {}, .reset_index = {}, .entries = batch.entries};
    if (batch.snapshot_replaces_log) {
      frame.reset_index = batch.snapshot->index;
    }
    ApplyStorageFrame(std::move(frame), content_);
  }

  // Returns the state that a process recovers if it starts now.
  recovered_state Recover() {
    const bool complete = RemoveSnapshottedEntries(content_);
    if (!complete) std::abort();
    return content_;
  }

 private:
  recovered_state content_;
};

// log_storage on a memory_disk, with injected write errors.
class memory_log_storage final : public log_storage {
 public:
  explicit memory_log_storage(memory_disk& disk) : disk_(disk) {}

  // Writes fail while `full` is true, which any thread may change.
  memory_log_storage(memory_disk& disk,
                     std::shared_ptr<const std::atomic<bool>> full)
      : disk_(disk), full_(std::move(full)) {}

  void FailWith(storage_error error) { failure_ = std::move(error); }

  result<recovered_state, storage_error> Load() override {
    return disk_.Recover();
  }
  result<void, storage_error> Write(const storage_batch& batch) override {
    if (failure_) return *failure_;
    if (full_ && *full_) {
      return storage_error{.kind = storage_error_kind::kFull,
                           .detail = "disk full"};
    }
    disk_.Write(batch);
    return success();
  }
  result<recovered_state, storage_error> Reopen() override {
    auto written = Write({});
    if (!written) return std::move(written).error();
    return disk_.Recover();
  }

 private:
  memory_disk& disk_;
  const std::shared_ptr<const std::atomic<bool>> full_;
  std::optional<storage_error> failure_;
};

}  // namespace hornbeam
