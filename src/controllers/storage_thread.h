// Thread for the disk writes of one replica.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "base/bounded_queue.h"
#include "replication/log_storage.h"

namespace hornbeam {

// Writes batches in order and reports each one through `done`, which runs on
// the storage thread. Owned by the replica host; Write is called on the I/O
// thread.
class storage_thread {
 public:
  using completion = std::function<void(result<void, storage_error>)>;

  storage_thread(std::unique_ptr<log_storage> storage, completion done);
  // Finishes the batches in the queue, then joins the thread.
  ~storage_thread();
  storage_thread(const storage_thread&) = delete;
  storage_thread& operator=(const storage_thread&) = delete;

  // Queues a batch. The caller must keep at most one batch waiting while
  // another is being written.
  void Write(storage_batch batch);

 private:
  void Run();

  static constexpr std::size_t kQueueBatches = 2;

  const std::unique_ptr<log_storage> storage_;
  const completion done_;
  bounded_queue<storage_batch> queue_{kQueueBatches};
  std::thread thread_;
};

}  // namespace hornbeam
