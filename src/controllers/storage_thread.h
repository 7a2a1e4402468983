// Thread for the disk writes of one replica.
#pragma once

#include <functional>
#include <memory>
#include <thread>
#include <variant>

#include "base/bounded_queue.h"
#include "replication/log_storage.h"

namespace hornbeam {

// Writes batches in order and reports each one through `written`, and each
// reopening through `reopened`. Both run on the storage thread. Owned by the
// replica host; Write and Reopen are called on the I/O thread.
class storage_thread {
 public:
  using write_completion = std::function<void(result<void, storage_error>)>;
  using reopen_completion =
      std::function<void(result<recovered_state, storage_error>)>;

  storage_thread(std::unique_ptr<log_storage> storage, write_completion written,
                 reopen_completion reopened);
  // Finishes the batches in the queue, then joins the thread.
  ~storage_thread();
  storage_thread(const storage_thread&) = delete;
  storage_thread& operator=(const storage_thread&) = delete;

  // Queues a batch. The caller must keep at most one batch waiting while
  // another is being written.
  void Write(storage_batch batch);
  // Queues a reopening. The caller must keep nothing else waiting.
  void Reopen();

 private:
  struct reopen_request {};
  using task = std::variant<storage_batch, reopen_request>;

  void Push(task next);
  void Run();

  static constexpr std::size_t kQueueTasks = 2;

  const std::unique_ptr<log_storage> storage_;
  const write_completion written_;
  const reopen_completion reopened_;
  bounded_queue<task> queue_{kQueueTasks};
  std::thread thread_;
};

}  // namespace hornbeam
